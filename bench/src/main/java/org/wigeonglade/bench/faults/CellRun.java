package org.wigeonglade.bench.faults;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.wigeonglade.bench.demo.Deployment;
import org.wigeonglade.bench.demo.EntryHostStarter;
import org.wigeonglade.bench.demo.FleetFixture;
import org.wigeonglade.bench.history.History;
import org.wigeonglade.bench.history.HistoryRecorder;
import org.wigeonglade.bench.history.PromiseCheckers;
import org.wigeonglade.bench.history.Workload;
import org.wigeonglade.bench.history.WorkloadOptions;
import org.wigeonglade.core.time.Ticker;

/**
 * Runs one cell on a fleet of its own and judges its history.
 */
final class CellRun {

	private static final int HOSTS = 4;

	private static final int RUNNERS = 4;

	private static final long STEP_MILLIS = 8000;

	private static final long BEFORE_STOP_MILLIS = 300;

	private static final Duration JOBS_LIMIT = Duration.ofSeconds(20);

	private static final long WALL_SKEW_MILLIS = 240_000;

	/** Within the drift that the lease margin allows for. */
	private static final double RATE_SKEW = 0.05;

	private final FaultCell cell;

	private final Path histories;

	private int startedHosts;

	private CellRun(FaultCell cell, Path histories) {
		this.cell = cell;
		this.histories = histories;
	}

	static CellResult run(FaultCell cell, Path histories) {
		return new CellRun(cell, histories).run();
	}

	private CellResult run() {
		HistoryRecorder recorder = new HistoryRecorder();
		List<String> failures = new ArrayList<>();
		boolean reached;
		try (FleetFixture fixture = startFleet()) {
			Workload workload = Workload.create(fixture, WorkloadOptions.small(this.cell.seed()), recorder);
			StepTrigger trigger = StepTrigger.arm(fixture, recorder, this.cell.step());
			workload.start();
			reached = injectAtStep(fixture, workload, recorder, trigger);
			History history = workload.finish(JOBS_LIMIT);
			if (!workload.isDone()) {
				failures.add("a job did not end within " + JOBS_LIMIT.toSeconds() + " s after the fault");
			}
			PromiseCheckers.checkAll(history).forEach((violation) -> failures.add(violation.toString()));
			if (!failures.isEmpty()) {
				String name = "cell-" + this.cell.getText().replaceAll("[^a-z]+", "-") + "-" + this.cell.seed();
				history.write(this.histories.resolve(name + ".jsonl"));
				LogDump.write(fixture.log(), this.histories.resolve(name + "-log.txt"));
			}
		}
		catch (RuntimeException ex) {
			return new CellResult(this.cell, false, List.of("the cell did not run: " + ex));
		}
		return new CellResult(this.cell, reached, failures);
	}

	private boolean injectAtStep(FleetFixture fixture, Workload workload, HistoryRecorder recorder,
			StepTrigger trigger) {
		if (this.cell.step() == FlowStep.CLAIM) {
			sleep(BEFORE_STOP_MILLIS);
			workload.stopHost(fixture.liveMembers().get(0));
		}
		Thread drain = null;
		if (this.cell.step() == FlowStep.DRAIN) {
			sleep(BEFORE_STOP_MILLIS);
			drain = Thread.startVirtualThread(() -> workload.stopHost(fixture.liveMembers().get(0)));
			trigger.fire();
		}
		if (!trigger.await(STEP_MILLIS)) {
			return false;
		}
		FaultInjector injector = new FaultInjector(fixture, workload, recorder, this.cell.seed());
		List<Thread> threads = this.cell.faults()
			.stream()
			.map((fault) -> Thread.startVirtualThread(() -> injector.inject(fault)))
			.toList();
		threads.forEach(CellRun::join);
		if (drain != null) {
			join(drain);
		}
		return true;
	}

	private FleetFixture startFleet() {
		boolean gapped = this.cell.faults().contains(FaultKind.CACHE_EVENTS_GAPPED);
		boolean skewed = this.cell.faults().contains(FaultKind.CLOCKS_SKEWED);
		return FleetFixture.builder(Deployment.MUISTOPUU.withSize(HOSTS, RUNNERS))
			.engine((engine) -> engine.restartMillis(500)
				.cacheEventGapEvery((gapped) ? 3 : 0)
				.cacheEventDelayMillis((gapped) ? 1500 : 200))
			.starter((settings, configuration) -> EntryHostStarter.create((skewed) ? nextTicker() : Ticker.system())
				.start(settings, configuration))
			.start();
	}

	private Ticker nextTicker() {
		int side = (this.startedHosts++ % 3) - 1;
		return new SkewedTicker(side * WALL_SKEW_MILLIS, 1 + side * RATE_SKEW);
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
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
