package org.wigeonglade.bench.demo;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.hash.Hashing;
import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Builds the configuration that a fixture publishes.
 */
public final class FleetConfigurations {

	/** API key of the workspace that the fixture's clients use. */
	public static final String API_KEY = "bench-key-0001";

	/** API key of a second workspace, for tests of fairness and access. */
	public static final String OTHER_API_KEY = "bench-key-0002";

	/** Version of every model that the fixture deploys. */
	public static final String MODEL_VERSION = "1";

	private static final int ONLINE_DEADLINE_MILLIS = 10_000;

	private static final int BATCH_DEADLINE_MILLIS = 24 * 3600 * 1000;

	private FleetConfigurations() {
	}

	/**
	 * Returns the configuration of a deployment.
	 * @param deployment the deployment, not null
	 * @param models the models of its model service, not empty
	 * @param appendsPerSecond the append budget of the fleet
	 * @return a valid configuration, never null
	 */
	public static FleetConfiguration of(Deployment deployment, List<String> models, int appendsPerSecond) {
		ServiceConfiguration model = new ServiceConfiguration().withName(deployment.modelService())
			.withKind(ServiceConfiguration.Kind.MODEL)
			.withProfile("counter")
			.withBatchProfile("overnight")
			.withModels(models.stream()
				.map((name) -> new ModelConfiguration().withName(name)
					.withVersion(MODEL_VERSION)
					.withAdapters(List.of()))
				.toList())
			.withFloorPerDomain(1)
			.withEnginesCheckTerm(true);
		ServiceConfiguration plain = new ServiceConfiguration().withName(deployment.plainService())
			.withKind(ServiceConfiguration.Kind.PLAIN)
			.withProfile("once-only")
			.withModels(List.of())
			.withFloorPerDomain(0);
		return new FleetConfiguration().withProfiles(profiles())
			.withServices(List.of(model, plain))
			.withWorkspaces(List.of(workspace("parish", API_KEY), workspace("head-office", OTHER_API_KEY)))
			.withBudgets(new BudgetConfiguration().withAppendsPerSecond(appendsPerSecond));
	}

	private static List<Profile> profiles() {
		return List.of(
				profile("counter", "A person waits: answer at once, before any batch work.", Profile.Priority.ONLINE,
						true, ONLINE_DEADLINE_MILLIS),
				profile("once-only", "A person waits and the call must not be made twice.", Profile.Priority.ONLINE,
						false, ONLINE_DEADLINE_MILLIS),
				profile("overnight", "Unattended work: finish by the due time and make room for people.",
						Profile.Priority.BATCH, true, BATCH_DEADLINE_MILLIS));
	}

	private static Profile profile(String name, String words, Profile.Priority priority, boolean idempotent,
			int deadlineMillis) {
		return new Profile().withName(name)
			.withWords(words)
			.withPriority(priority)
			.withIdempotent(idempotent)
			.withDeadlineMs(deadlineMillis);
	}

	private static WorkspaceConfiguration workspace(String name, String key) {
		String hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
		return new WorkspaceConfiguration().withName(name).withKeyHashes(List.of(hash)).withServices(null);
	}

}
