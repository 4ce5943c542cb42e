package org.wigeonglade.standins.machines;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;

/**
 * Traffic of all kinds for two gateway processes, so that the classes that they load
 * under load can be recorded. Writes the settings of the processes, waits until they are
 * ready, and then calls them against stand-ins of the store and of runners.
 */
public final class MachineRehearsal implements AutoCloseable {

	/** Exit code if the processes did not become ready in time. */
	public static final int EXIT_NOT_READY = 1;

	private static final String SERVICE = "llm";

	private static final int HOSTS = 2;

	private static final int RUNNERS = 3;

	private static final int ROUNDS = 60;

	private static final long START_TIMEOUT_SECONDS = 60;

	/** Longer than a host keeps from running items after its start. */
	private static final long SETTLING_MILLIS = 2_000;

	private static final long CALL_DEADLINE_MILLIS = 3_000;

	private final Vertx vertx = Vertx.vertx();

	private final MachineStoreStandIn store = MachineStoreStandIn.start(this.vertx, 0);

	private final List<MachineRunnerStandIn> runners = new ArrayList<>();

	private final List<MachineCaller> hosts = new ArrayList<>();

	private final List<MachineCaller> readiness = new ArrayList<>();

	private MachineRehearsal(Path folder) throws IOException {
		new MachineOperatorStandIn(this.store).publish(SERVICE);
		for (int i = 0; i < RUNNERS; i++) {
			MachineRunnerStandIn runner = MachineRunnerStandIn.start(this.vertx, "runner-" + i, SERVICE, 4);
			runner.setEvents(12, 5);
			runner.register(this.store, "ready");
			this.runners.add(runner);
		}
		for (int i = 0; i < HOSTS; i++) {
			int callerPort = MachineOperatorStandIn.findPeerPort();
			int readinessPort = MachineOperatorStandIn.findPeerPort();
			this.hosts.add(new MachineCaller(new InetSocketAddress("127.0.0.1", callerPort)));
			this.readiness.add(new MachineCaller(new InetSocketAddress("127.0.0.1", readinessPort)));
			Path file = folder.resolve("host-" + i + ".json");
			Path complete = Files.writeString(folder.resolve("host-" + i + ".tmp"),
					MachineOperatorStandIn
						.settings("host-" + i, "zone-" + i, callerPort, readinessPort,
								MachineOperatorStandIn.findPeerPort(), this.store.getPort())
						.encode());
			Files.move(complete, file);
		}
	}

	/**
	 * Rehearses two processes that are started with the settings {@code host-0.json} and
	 * {@code host-1.json}.
	 * @param args the folder to which the settings are written
	 * @throws IOException if they cannot be written
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		try (MachineRehearsal rehearsal = new MachineRehearsal(Path.of(args[0]))) {
			if (!rehearsal.awaitReady()) {
				System.exit(EXIT_NOT_READY);
			}
			rehearsal.run();
		}
		System.exit(0);
	}

	private boolean awaitReady() throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
		for (MachineCaller host : this.readiness) {
			while (!isReady(host)) {
				if (System.nanoTime() > deadline) {
					return false;
				}
				TimeUnit.MILLISECONDS.sleep(100);
			}
		}
		TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
		return true;
	}

	private static boolean isReady(MachineCaller host) {
		try {
			return host.get("/api/readyz").statusCode() == 200;
		}
		catch (UncheckedIOException ex) {
			return false;
		}
	}

	// A call that fails has been rehearsed as well.
	private void run() throws InterruptedException {
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int i = 0; i < ROUNDS; i++) {
				MachineCaller host = this.hosts.get(i % HOSTS);
				String id = "rehearsal-" + i;
				callers.submit(() -> callAllRoutes(host, id));
				if (i % 20 == 0) {
					callers.submit(() -> runJob(host, "job-" + id));
				}
				if (i == ROUNDS / 2) {
					disturb();
				}
				TimeUnit.MILLISECONDS.sleep(80);
			}
		}
	}

	private void callAllRoutes(MachineCaller host, String id) {
		for (String route : List.of("stream", "plain-stream", "safe", "once", "unknown")) {
			host.call("/" + route + "/1", id + "-" + route, CALL_DEADLINE_MILLIS);
		}
		MachineCaller.send(host.request("/stream/1", id + "-resumed")
			.header("Deadline-Ms", Long.toString(CALL_DEADLINE_MILLIS))
			.header("Last-Event-Id", "4")
			.header("Resumes", id + "-stream")
			.POST(HttpRequest.BodyPublishers.noBody()));
	}

	private void runJob(MachineCaller host, String job) {
		host.submit(job, 12);
		host.submit(job, 12);
		host.get("/api/items/" + job + "?id=" + job + "-11");
		for (int i = 0; i < 6; i++) {
			MachineCaller.send(host.request("/api/lots/" + job + "?after=" + i, job + "-read-" + i)
				.header("Wait-Ms", "500")
				.GET());
		}
		host.results("unknown-" + job);
		host.deleteJob(job);
	}

	// A runner fails, another one leaves, and the store is away for a moment.
	private void disturb() throws InterruptedException {
		this.runners.get(0).injectFault(MachineRunnerStandIn.Fault.BREAK_IN_EVENT, 2);
		this.runners.get(1).register(this.store, "draining");
		this.store.setMode(MachineStoreStandIn.Mode.REFUSING);
		TimeUnit.MILLISECONDS.sleep(500);
		this.store.setMode(MachineStoreStandIn.Mode.SERVING);
		this.store.put(MachineStoreStandIn.RUNNER_TOPIC, "runner-1", null);
	}

	@Override
	public void close() {
		this.runners.forEach(MachineRunnerStandIn::stop);
		this.store.stop();
		this.vertx.close();
	}

}
