package org.wigeonglade.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

import com.google.common.hash.Hashing;
import org.wigeonglade.core.route.Endpoint;
import org.wigeonglade.core.route.EndpointSelector;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Measures the choice of an upstream and the size of a configuration.
 */
final class DecisionSlopes {

	private static final int CHOICES = 2000;

	private static final long SEED = 17;

	private static final int SERVICES = 8;

	private DecisionSlopes() {
	}

	static Slope routing(List<Integer> sizes, boolean prefix) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			List<Endpoint> candidates = new ArrayList<>();
			for (int i = 0; i < size; i++) {
				candidates.add(new Endpoint("ar-centro-a-runner-" + i, i % 7, 24, true));
			}
			points.add(new Slope.Point(size, Measure.cpuNanos(() -> choose(candidates, prefix)) / CHOICES));
		}
		return Slope.fit((prefix) ? "routing.time.prefix" : "routing.time", "upstreams", "ns", points);
	}

	static Slope configuration(String name, String unit, List<Integer> workspaces, ToDoubleFunction<byte[]> measured) {
		List<Slope.Point> points = new ArrayList<>();
		for (int count : workspaces) {
			points.add(new Slope.Point(count, measured.applyAsDouble(body(count))));
		}
		return Slope.fit(name, "workspaces", unit, points);
	}

	static double readMicros(byte[] body) {
		SettingsReader reader = SettingsReader.create();
		return Measure.cpuNanos(() -> reader.readFleetConfiguration(body)) / 1000;
	}

	static double heapBytes(byte[] body) {
		SettingsReader reader = SettingsReader.create();
		return Measure.retainedBytes(() -> reader.readFleetConfiguration(body));
	}

	private static Object choose(List<Endpoint> candidates, boolean prefix) {
		SplittableRandom random = new SplittableRandom(SEED);
		Object last = null;
		for (int i = 0; i < CHOICES; i++) {
			last = EndpointSelector.choose(candidates, (prefix) ? "You write short verses. Family " + i : "",
					random::nextInt);
		}
		return last;
	}

	private static byte[] body(int workspaces) {
		FleetConfiguration body = new FleetConfiguration();
		body.getProfiles().add(profile("online", Profile.Priority.ONLINE));
		body.getProfiles().add(profile("overnight", Profile.Priority.BATCH));
		for (int i = 0; i < SERVICES; i++) {
			ServiceConfiguration service = new ServiceConfiguration().withName("service-" + i)
				.withKind(ServiceConfiguration.Kind.MODEL)
				.withProfile("online")
				.withBatchProfile("overnight");
			service.getModels().add(new ModelConfiguration().withName("model-" + i).withVersion("1"));
			body.getServices().add(service);
		}
		for (int i = 0; i < workspaces; i++) {
			WorkspaceConfiguration workspace = new WorkspaceConfiguration().withName("workspace-" + i);
			for (int key = 0; key < 2; key++) {
				workspace.getKeyHashes()
					.add(Hashing.sha256().hashString(i + "/" + key, StandardCharsets.UTF_8).toString());
			}
			workspace.getServices().add("service-" + i % SERVICES);
			body.getWorkspaces().add(workspace);
		}
		return SettingsReader.create().write(body);
	}

	private static Profile profile(String name, Profile.Priority priority) {
		return new Profile().withName(name)
			.withWords("Words that say how this kind of work is treated, about two lines of text in most profiles.")
			.withPriority(priority)
			.withIdempotent(true);
	}

}
