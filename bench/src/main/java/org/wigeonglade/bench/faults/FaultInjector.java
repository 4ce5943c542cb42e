package org.wigeonglade.bench.faults;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.bench.demo.FleetConfigurations;
import org.wigeonglade.bench.demo.FleetFixture;
import org.wigeonglade.bench.demo.FleetMember;
import org.wigeonglade.bench.history.HistoryEntry;
import org.wigeonglade.bench.history.HistoryRecorder;
import org.wigeonglade.bench.history.Workload;
import org.wigeonglade.standins.CallFault;

/**
 * Injects faults into a fleet and ends them after a while. The same seed picks the same
 * members.
 */
public final class FaultInjector {

	/** Longer than the leases of a fixture with fast timings. */
	private static final long LASTS_MILLIS = 1800;

	private static final long SLOW_MILLIS = 150;

	private static final int LOST_ANSWERS = 3;

	private static final int POISON_SENDS = 3;

	private final FleetFixture fixture;

	private final Workload workload;

	private final HistoryRecorder recorder;

	private final Random random;

	/**
	 * Creates an injector.
	 * @param fixture the fleet, not null
	 * @param workload the running clients, not null
	 * @param recorder records the faults, not null
	 * @param seed the seed of choices
	 */
	public FaultInjector(FleetFixture fixture, Workload workload, HistoryRecorder recorder, long seed) {
		this.fixture = fixture;
		this.workload = workload;
		this.recorder = recorder;
		this.random = new Random(seed);
	}

	/**
	 * Injects a fault and returns when it has ended.
	 * @param fault the fault, not null
	 */
	public void inject(FaultKind fault) {
		this.recorder.record(new HistoryEntry.Fault(fault.getText(), System.nanoTime()));
		switch (fault) {
			case RUNNER_LOST -> loseRunner();
			case HOST_LOST -> this.fixture.killHost(pick());
			case CLIENT_RESENDS -> this.workload.resubmit();
			case PLATFORM_DOWN -> outage(CallFault.REFUSED_BEFORE);
			case PLATFORM_SILENT -> outage(CallFault.HANGS);
			case PLATFORM_SLOW -> slowPlatform();
			case ANSWER_LOST -> loseAnswers();
			case HOLDER_PAUSED -> pick().host().pause(LASTS_MILLIS);
			case OPERATORS_RACE -> this.workload.raceOperators();
			case POISON_REQUEST -> sendPoison();
			case PARTITION_ONE_WAY -> partition(false);
			case PARTITION_FULL -> partition(true);
			case RUNNER_LEAVES -> this.workload.leaveEngine(this.random.nextInt(this.fixture.engines().size()));
			case HOST_LEAVES -> this.workload.stopHost(pick());
			case CACHE_EVENTS_GAPPED, CLOCKS_SKEWED -> {
				// Set when the fleet was started.
			}
		}
	}

	private FleetMember pick() {
		List<FleetMember> live = this.fixture.liveMembers();
		return live.get(this.random.nextInt(live.size()));
	}

	private void loseRunner() {
		int index = this.random.nextInt(this.fixture.engines().size());
		this.fixture.killEngine(index);
		sleep(LASTS_MILLIS);
		this.fixture.restartEngine(index);
	}

	private void outage(CallFault fault) {
		this.fixture.log().outage(fault);
		sleep(LASTS_MILLIS);
		this.fixture.log().outage(null);
	}

	private void slowPlatform() {
		this.fixture.log().latency(SLOW_MILLIS);
		sleep(LASTS_MILLIS);
		this.fixture.log().latency(0);
	}

	private void loseAnswers() {
		for (int i = 1; i <= LOST_ANSWERS; i++) {
			this.fixture.log().appendFaults().failNth("jobs-.*|config", i, CallFault.ANSWER_LOST);
		}
		sleep(LASTS_MILLIS);
	}

	private void sendPoison() {
		ServingClient client = ServingClient.of(this.fixture.vertx(), FleetConfigurations.API_KEY);
		JsonObject body = new JsonObject().put("model", this.fixture.deployment().modelService())
			.put("prompt", "[crash] poison " + this.random.nextInt(1000))
			.put("max_tokens", 8);
		for (int i = 0; i < POISON_SENDS; i++) {
			client.complete(pick().clientPort(), body, Map.of(), Duration.ofSeconds(5))
				.answer()
				.toCompletionStage()
				.toCompletableFuture()
				.join();
		}
	}

	private void partition(boolean full) {
		List<String> domains = this.fixture.deployment().domains();
		String one = domains.get(this.random.nextInt(domains.size()));
		for (String other : domains) {
			if (!other.equals(one)) {
				this.fixture.cutDomains(one, other, true, full);
			}
		}
		this.fixture.cutPlatform(one, full);
		sleep(LASTS_MILLIS);
		for (String other : domains) {
			if (!other.equals(one)) {
				this.fixture.cutDomains(one, other, false, false);
			}
		}
		this.fixture.cutPlatform(one, false);
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
