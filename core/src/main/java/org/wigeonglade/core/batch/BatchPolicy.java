package org.wigeonglade.core.batch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Typed view of the batch settings in the published configuration. Every call reads the
 * version in force.
 */
public final class BatchPolicy {

	private static final int DEFAULT_MAX_ATTEMPTS = 3;

	private final ConfigurationSource source;

	/**
	 * Creates the policy.
	 * @param source supplies the version in force, not null
	 */
	public BatchPolicy(ConfigurationSource source) {
		this.source = source;
	}

	/**
	 * Returns the configuration version in force.
	 * @return at least 0
	 */
	public long getVersion() {
		return this.source.current().version();
	}

	/**
	 * Returns the number of partitions.
	 * @return at least 1
	 */
	public int getPartitions() {
		return budgets().getPartitions();
	}

	/**
	 * Returns the append budget of all hosts together.
	 * @return appends per second, at least 1
	 */
	public int getAppendsPerSecond() {
		return budgets().getAppendsPerSecond();
	}

	/**
	 * Returns the retention time of finished jobs and of idempotency keys.
	 * @return milliseconds
	 */
	public long getRetentionMillis() {
		return TimeUnit.HOURS.toMillis(budgets().getResultRetentionHours());
	}

	/**
	 * Finds the service that serves a model.
	 * @param model the name of a service or of one of its models; service names take
	 * precedence
	 * @return the service, empty if none is configured
	 */
	public Optional<ServiceConfiguration> findService(String model) {
		List<ServiceConfiguration> services = configuration().getServices();
		if (services == null) {
			return Optional.empty();
		}
		Optional<ServiceConfiguration> byName = services.stream().filter((s) -> s.getName().equals(model)).findFirst();
		return byName.isPresent() ? byName : services.stream()
			.filter((s) -> s.getModels() != null && s.getModels().stream().anyMatch((m) -> m.getName().equals(model)))
			.findFirst();
	}

	/**
	 * Finds the profile under which a service runs batch items.
	 * @param service the name of the service
	 * @return the profile, empty if the service accepts no batch work
	 */
	public Optional<Profile> findBatchProfile(String service) {
		if (configuration().getProfiles() == null) {
			return Optional.empty();
		}
		return findService(service).map(ServiceConfiguration::getBatchProfile)
			.flatMap((name) -> configuration().getProfiles()
				.stream()
				.filter((p) -> p.getName().equals(name))
				.findFirst());
	}

	/**
	 * Returns the maximum number of attempts for an item of a service.
	 * @param service the name of the service
	 * @return at least 1
	 */
	public int getMaxAttempts(String service) {
		return findBatchProfile(service).map(Profile::getMaxAttempts).orElse(DEFAULT_MAX_ATTEMPTS);
	}

	/**
	 * Returns the fair-queueing weight of a workspace.
	 * @param workspace the name of the workspace
	 * @return at least 1, 1 for an unknown workspace
	 */
	public int getWeight(String workspace) {
		return findWorkspace(workspace).map(WorkspaceConfiguration::getWeight).orElse(1);
	}

	/**
	 * Returns whether a workspace is allowed to use a service.
	 * @param workspace the name of the workspace
	 * @param service the name of the service
	 * @return false only if the workspace lists its services and this one is missing
	 */
	public boolean mayUse(String workspace, String service) {
		return findWorkspace(workspace).map(WorkspaceConfiguration::getServices)
			.map((services) -> services.isEmpty() || services.contains(service))
			.orElse(true);
	}

	private Optional<WorkspaceConfiguration> findWorkspace(String workspace) {
		return (configuration().getWorkspaces() != null)
				? configuration().getWorkspaces().stream().filter((w) -> w.getName().equals(workspace)).findFirst()
				: Optional.empty();
	}

	private BudgetConfiguration budgets() {
		BudgetConfiguration budgets = configuration().getBudgets();
		return (budgets != null) ? budgets : new BudgetConfiguration();
	}

	private FleetConfiguration configuration() {
		return this.source.current().body();
	}

}
