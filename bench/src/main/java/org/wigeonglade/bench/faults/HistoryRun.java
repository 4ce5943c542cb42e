package org.wigeonglade.bench.faults;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.wigeonglade.bench.demo.Deployment;
import org.wigeonglade.bench.demo.FleetFixture;
import org.wigeonglade.bench.history.History;
import org.wigeonglade.bench.history.HistoryRecorder;
import org.wigeonglade.bench.history.PromiseCheckers;
import org.wigeonglade.bench.history.Violation;
import org.wigeonglade.bench.history.Workload;
import org.wigeonglade.bench.history.WorkloadOptions;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Runs concurrent clients against a fleet while random faults are injected one after the
 * other, writes the history and checks every promise over it.
 */
public final class HistoryRun {

	/** Exit code when every promise held. */
	public static final int EXIT_OK = 0;

	/** Exit code when a promise was broken or a job did not end. */
	public static final int EXIT_BROKEN = 1;

	private static final Duration JOBS_LIMIT = Duration.ofSeconds(30);

	private static final int MAX_HOSTS_LOST = 3;

	private final Deployment deployment;

	private final WorkloadOptions options;

	private final int faults;

	private final Path file;

	private HistoryRun(Deployment deployment, WorkloadOptions options, int faults, Path file) {
		this.deployment = deployment;
		this.options = options;
		this.faults = faults;
		this.file = file;
	}

	/**
	 * Returns a run.
	 * @param deployment the size and network, not null
	 * @param options the clients and the seed, not null
	 * @param faults the number of faults to inject, at least 0
	 * @param file receives the history, not null
	 * @return a run, never null
	 */
	public static HistoryRun of(Deployment deployment, WorkloadOptions options, int faults, Path file) {
		return new HistoryRun(deployment, options, faults, file);
	}

	/**
	 * Runs and reports.
	 * @param out receives one line for each violation and a summary
	 * @return {@value #EXIT_OK} only if every promise held and every job ended
	 */
	public int run(PrintStream out) {
		HistoryRecorder recorder = new HistoryRecorder();
		boolean done;
		History history;
		try (FleetFixture fixture = FleetFixture.builder(this.deployment)
			.engine((engine) -> engine.restartMillis(500))
			.start()) {
			Workload workload = Workload.create(fixture, this.options, recorder);
			workload.start();
			injectFaults(new FaultInjector(fixture, workload, recorder, this.options.seed()), out);
			history = workload.finish(JOBS_LIMIT);
			done = workload.isDone();
		}
		write(history);
		List<Violation> violations = PromiseCheckers.checkAll(history);
		violations.stream().limit(20).forEach(out::println);
		if (!done) {
			out.println(
					"A job did not end within " + JOBS_LIMIT.toSeconds() + " s (seed " + this.options.seed() + ").");
		}
		out.println(history.entries().size() + " entries, " + violations.size() + " violations, seed "
				+ this.options.seed() + ".");
		return (violations.isEmpty() && done) ? EXIT_OK : EXIT_BROKEN;
	}

	private void injectFaults(FaultInjector injector, PrintStream out) {
		Random random = new Random(this.options.seed());
		int hostsLost = 0;
		for (int i = 0; i < this.faults; i++) {
			FaultKind fault = FaultKind.values()[random.nextInt(FaultKind.values().length)];
			boolean losesHost = fault == FaultKind.HOST_LOST || fault == FaultKind.HOST_LEAVES;
			if (fault.isWholeRun() || (losesHost && hostsLost++ >= MAX_HOSTS_LOST)) {
				continue;
			}
			out.println("fault: " + fault.getText());
			injector.inject(fault);
			sleep(100 + random.nextInt(400));
		}
	}

	private void write(History history) {
		try {
			if (this.file.toAbsolutePath().getParent() != null) {
				Files.createDirectories(this.file.toAbsolutePath().getParent());
			}
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
					"the folder of " + this.file + " cannot be created", ex);
		}
		history.write(this.file);
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
