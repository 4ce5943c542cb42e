package org.wigeonglade.bench.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Counts what happens in a run of the model, for its report.
 */
final class ModelStatistics {

	/** Time after its arrival at which an item is due. */
	private static final double DUE_MILLIS = 18_000;

	private final ModelOptions options;

	private final double endMillis;

	private final ModelShares shares;

	private final List<Double> firstMillis = new ArrayList<>();

	private final int[] sent;

	private final int[] sentToSlowed;

	private double workMillis;

	private int streams;

	private int late;

	private int secondVisit;

	private int refused;

	private int declined;

	private int items;

	private int itemsInTime;

	private int preemptions;

	private int samples;

	private long idleSum;

	private long batchSum;

	ModelStatistics(ModelOptions options) {
		this.options = options;
		this.endMillis = options.seconds() * 1_000.0;
		this.shares = new ModelShares(options.contention());
		this.sent = new int[10 * options.seconds() + 1];
		this.sentToSlowed = new int[10 * options.seconds() + 1];
	}

	void streamArrived(ModelWork stream) {
		this.streams++;
		this.shares.arrived(stream);
	}

	void itemArrived(ModelWork item) {
		this.items += isDueWithinRun(item) ? 1 : 0;
	}

	void itemEnded(ModelWork item, double nowMillis) {
		boolean inTime = nowMillis - item.getArrivedMillis() <= DUE_MILLIS;
		this.itemsInTime += (inTime && isDueWithinRun(item)) ? 1 : 0;
	}

	// The caller of a refused stream returns.
	void returned(ModelWork stream) {
		this.shares.returned(stream);
	}

	// A stream was sent to a runner.
	void sent(int runner, double nowMillis) {
		int interval = (int) (nowMillis / 100);
		this.sent[interval]++;
		this.sentToSlowed[interval] += this.options.fleet().isSlowed(runner) ? 1 : 0;
	}

	// A runner with a full queue declined a request.
	void declined() {
		this.declined++;
	}

	// A stream was refused at its last visit.
	void refused() {
		this.refused++;
	}

	// An item gave its slot back.
	void preempted() {
		this.preemptions++;
	}

	// Work is counted in the time that a runner of mean speed takes for it.
	void worked(double millis) {
		this.workMillis += millis;
	}

	void started(ModelWork stream, double firstEventMillis) {
		this.firstMillis.add(firstEventMillis - stream.getArrivedMillis());
		if (firstEventMillis - stream.getVisitedMillis() > DispatchModel.TARGET_MILLIS) {
			this.late++;
			return;
		}
		this.shares.servedInTime(stream);
		this.secondVisit += stream.isSecondVisit() ? 1 : 0;
	}

	void sample(List<ModelRunner> runners) {
		if (runners.stream().anyMatch(ModelRunner::isStreamWaiting)) {
			this.samples++;
			this.idleSum += runners.stream().mapToInt(ModelRunner::getIdleSlots).sum();
			this.batchSum += runners.stream().mapToInt(ModelRunner::getBatchSlots).sum();
		}
	}

	ModelReport getReport() {
		return new ModelReport(this.streams, this.late, this.secondVisit, this.refused, this.declined, this.items,
				this.itemsInTime, this.preemptions, this.firstMillis.stream().sorted().toList(),
				(double) this.idleSum / Math.max(1, this.samples), (double) this.batchSum / Math.max(1, this.samples),
				this.workMillis / 1_000, Arrays.stream(this.sent).boxed().toList(),
				Arrays.stream(this.sentToSlowed).boxed().toList(),
				(this.options.contention().workspaces() > 0) ? this.shares.getFigures() : Map.of());
	}

	private boolean isDueWithinRun(ModelWork item) {
		return item.getArrivedMillis() + DUE_MILLIS <= this.endMillis;
	}

}
