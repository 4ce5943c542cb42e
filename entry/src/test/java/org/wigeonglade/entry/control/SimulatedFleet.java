package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;

import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.wigeonglade.core.config.ConfigurationBodyParser;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.place.PlacementLeaseTiming;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.core.time.ManualTicker;
import org.wigeonglade.peer.PeerIdentity;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;

/**
 * Runs control runtimes of several hosts on one thread with injected clocks, so that a
 * run has one outcome.
 */
final class SimulatedFleet {

	static final Duration STEP = Duration.ofMillis(100);

	private static final FleetConfiguration EMPTY = new FleetConfiguration().withProfiles(List.of())
		.withServices(List.of())
		.withWorkspaces(List.of());

	private final ConfigurationBodyParser bodies;

	private final Function<HostId, PlacementTargets> targets;

	private final SimulatedNetwork network = new SimulatedNetwork();

	private final SimulatedPlatform platform = new SimulatedPlatform();

	private final Map<HostId, ControlRuntime> runtimes = new LinkedHashMap<>();

	private final Map<HostId, ManualTicker> tickers = new LinkedHashMap<>();

	private final Map<HostId, Long> highest = new LinkedHashMap<>();

	private final Set<HostId> paused = new HashSet<>();

	SimulatedFleet(int hosts) {
		this(hosts, EMPTY, (host) -> null);
	}

	SimulatedFleet(int hosts, FleetConfiguration body, Function<HostId, PlacementTargets> targets) {
		this.bodies = (json) -> body;
		this.targets = targets;
		for (int i = 0; i < hosts; i++) {
			HostId host = HostId.of("h" + i);
			this.platform.list(
					new ListedHost(host.value(), HostRole.ENTRY, address(host), "fi-a", "fi", "", List.of(), 1, false));
			start(host, 1, 1_700_000_000_000L + i * 3_600_000L);
		}
	}

	SimulatedNetwork getNetwork() {
		return this.network;
	}

	SimulatedPlatform getPlatform() {
		return this.platform;
	}

	long getMillis() {
		return this.tickers.values().iterator().next().millis();
	}

	boolean isPaused(HostId host) {
		return this.paused.contains(host);
	}

	ControlRuntime get(String host) {
		return this.runtimes.get(HostId.of(host));
	}

	Set<HostId> getHosts() {
		return this.runtimes.keySet();
	}

	// Starts a host, or starts it again without anything that it knew.
	void start(HostId host, long incarnation, long wallMillis) {
		ManualTicker ticker = ManualTicker.startingAt(wallMillis);
		SimulatedNetwork.Endpoint endpoint = this.network.open(host, address(host));
		this.tickers.put(host, ticker);
		this.runtimes.put(host, ControlRuntime.builder()
			.identity(new PeerIdentity(host, incarnation, FailureDomain.of("fi-a"), Region.of("fi")), address(host))
			.options(new ControlOptions(Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofMillis(500),
					Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofMinutes(30), 2, 48,
					List.of("10.0.0.1:0", "10.0.0.1:1", "10.0.0.1:2")))
			.ticker(ticker)
			.transport(endpoint, endpoint)
			.platform(this.platform.directoryFor(host), this.platform.logFor(host))
			.bodies(this.bodies)
			.placement(this.targets.apply(host), PlacementLeaseTiming.defaults())
			.loop(this.network.executor())
			.build());
	}

	void pause(HostId host, boolean value) {
		this.network.setAbsent(host, value);
		if (value) {
			this.paused.add(host);
		}
		else {
			this.paused.remove(host);
		}
	}

	// Lets time pass and checks in each step that no host goes back to a lower version.
	void run(Duration time) {
		for (long done = 0; done < time.toMillis(); done += STEP.toMillis()) {
			this.tickers.values().forEach((t) -> t.advance(STEP));
			this.runtimes.forEach((host, runtime) -> {
				if (!this.paused.contains(host)) {
					runtime.tick();
				}
			});
			this.network.drain();
			this.runtimes.forEach((host, runtime) -> {
				long version = runtime.getConfigurationSource().current().version();
				long before = this.highest.getOrDefault(host, 0L);
				Assert.assertTrue(!runtime.isReady() || version >= before,
						host + " went back from " + before + " to " + version);
				this.highest.put(host, Math.max(before, version));
			});
		}
	}

	<T> Outcome<T> subscribe(Uni<T> uni) {
		Outcome<T> outcome = new Outcome<>();
		uni.subscribe().with(outcome.item::set, outcome.failure::set);
		return outcome;
	}

	Outcome<?> publish(String host, long base, String author) {
		return subscribe(
				get(host).publish(new ConfigurationDraft(base, author, "reason of " + author, "{}".getBytes(), 0)));
	}

	List<Long> getVersions() {
		List<Long> versions = new ArrayList<>();
		this.runtimes.values().forEach((r) -> versions.add(r.getConfigurationSource().current().version()));
		return versions;
	}

	void forEachOther(String host, Consumer<HostId> action) {
		this.runtimes.keySet().stream().filter((h) -> !h.value().equals(host)).forEach(action);
	}

	private static String address(HostId host) {
		return "10.0.0.1:" + host.value().substring(1);
	}

	/**
	 * Keeps how an asynchronous call ended.
	 */
	static final class Outcome<T> {

		private final AtomicReference<T> item = new AtomicReference<>();

		private final AtomicReference<Throwable> failure = new AtomicReference<>();

		T getItem() {
			return this.item.get();
		}

		Throwable getFailure() {
			return this.failure.get();
		}

	}

}
