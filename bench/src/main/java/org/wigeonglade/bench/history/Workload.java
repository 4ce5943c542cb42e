package org.wigeonglade.bench.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.bench.client.ServingClient;
import org.wigeonglade.bench.demo.FleetConfigurations;
import org.wigeonglade.bench.demo.FleetFixture;
import org.wigeonglade.bench.demo.FleetMember;
import org.wigeonglade.bench.demo.LoadBalancer;

/**
 * Concurrent clients of all interfaces that record what they see. Each client is a
 * virtual thread that blocks on its own calls.
 */
public final class Workload {

	private final FleetFixture fixture;

	private final WorkloadOptions options;

	private final HistoryRecorder recorder;

	private final ServingClient client;

	private final LoadBalancer balancer;

	private final List<Thread> untilStopped = new ArrayList<>();

	private final List<Thread> untilDone = new ArrayList<>();

	private volatile boolean stopped;

	private Workload(FleetFixture fixture, WorkloadOptions options, HistoryRecorder recorder) {
		this.fixture = fixture;
		this.options = options;
		this.recorder = recorder;
		this.client = ServingClient.of(fixture.vertx(), FleetConfigurations.API_KEY);
		this.balancer = new LoadBalancer(fixture);
	}

	/**
	 * Creates the clients and waits until every host answers.
	 * @param fixture the running fleet, not null
	 * @param options the size, not null
	 * @param recorder receives what the clients see, not null
	 * @return a workload that has not started, never null
	 */
	public static Workload create(FleetFixture fixture, WorkloadOptions options, HistoryRecorder recorder) {
		Workload workload = new Workload(fixture, options, recorder);
		workload.awaitServing();
		return workload;
	}

	/**
	 * Starts all clients.
	 */
	public void start() {
		for (int i = 0; i < this.options.onlineClients(); i++) {
			this.untilStopped.add(Thread.startVirtualThread(new OnlineClient(this, i)));
		}
		for (int i = 0; i < this.options.serviceClients(); i++) {
			this.untilStopped.add(Thread.startVirtualThread(new ServiceClientLoop(this, i)));
		}
		for (int i = 0; i < this.options.jobs(); i++) {
			boolean cancel = this.options.cancelLast() && i == this.options.jobs() - 1;
			this.untilDone.add(Thread.startVirtualThread(new JobClient(this, i, cancel)));
		}
		if (this.options.publish()) {
			this.untilStopped.add(Thread.startVirtualThread(new ConfigurationClient(this)));
		}
	}

	/**
	 * Sends the first job once more, from another client under the same key, and follows
	 * it.
	 */
	public void resubmit() {
		Thread again = Thread.startVirtualThread(new JobClient(this, 0, false));
		join(List.of(again), System.nanoTime() + TimeUnit.SECONDS.toNanos(20));
	}

	/**
	 * Waits for the jobs, stops the other clients and closes the history.
	 * @param limit the longest time to wait for the jobs
	 * @return the whole history with the counts of engines and services
	 */
	public History finish(Duration limit) {
		long end = System.nanoTime() + limit.toNanos();
		join(this.untilDone, end);
		this.stopped = true;
		join(this.untilStopped, System.nanoTime() + TimeUnit.SECONDS.toNanos(12));
		for (int i = 0; i < this.fixture.engines().size(); i++) {
			this.recorder.recordLedger(this.fixture.engineName(i), this.fixture.engines().get(i).recorder());
		}
		for (int i = 0; i < this.fixture.services().size(); i++) {
			this.recorder.recordRuns("service-" + i, this.fixture.services().get(i));
		}
		return this.recorder.toHistory(this.options.seed());
	}

	/**
	 * Stops a host as planned and records it.
	 * @param member the host, not null
	 */
	public void stopHost(FleetMember member) {
		long begin = System.nanoTime();
		this.recorder.record(new HistoryEntry.Fault("planned stop of " + member.name(), begin));
		this.fixture.stopHost(member);
		this.recorder.record(new HistoryEntry.HostStop(member.name(), begin, System.nanoTime()));
	}

	/**
	 * Marks a runner as leaving and records it.
	 * @param index the number of the runner
	 */
	public void leaveEngine(int index) {
		this.fixture.leaveEngine(index);
		this.recorder.record(new HistoryEntry.UpstreamLeaving(this.fixture.engineName(index), System.nanoTime()));
	}

	/**
	 * Publishes the same version from two hosts at once, as two operators.
	 */
	public void raceOperators() {
		ConfigurationClient operators = new ConfigurationClient(this);
		List<FleetMember> live = this.fixture.liveMembers();
		Thread first = Thread.startVirtualThread(() -> operators.publish(live.get(0), "first"));
		Thread second = Thread.startVirtualThread(() -> operators.publish(live.get(live.size() - 1), "second"));
		join(List.of(first, second), System.nanoTime() + TimeUnit.SECONDS.toNanos(10));
	}

	/**
	 * Returns whether all jobs ended.
	 * @return false while a client follows its job
	 */
	public boolean isDone() {
		return this.untilDone.stream().noneMatch(Thread::isAlive);
	}

	FleetFixture fixture() {
		return this.fixture;
	}

	WorkloadOptions options() {
		return this.options;
	}

	HistoryRecorder recorder() {
		return this.recorder;
	}

	ServingClient client() {
		return this.client;
	}

	LoadBalancer balancer() {
		return this.balancer;
	}

	boolean isStopped() {
		return this.stopped;
	}

	Random random(String purpose) {
		return new Random(this.options.seed() * 31 + purpose.hashCode());
	}

	void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void awaitServing() {
		JsonObject body = new JsonObject().put("model", this.fixture.deployment().modelService())
			.put("prompt", "is the host serving")
			.put("max_tokens", 1);
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
		for (FleetMember member : this.fixture.liveMembers()) {
			boolean serving = false;
			while (!serving && System.nanoTime() < end) {
				serving = Blocking
					.await(this.client.complete(member.clientPort(), body, java.util.Map.of(), Duration.ofSeconds(2))
						.answer())
					.isWhole();
			}
		}
	}

	private static void join(List<Thread> threads, long end) {
		for (Thread thread : threads) {
			try {
				long left = Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()));
				thread.join(left);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
