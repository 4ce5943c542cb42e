package org.wigeonglade.bench.demo;

import java.io.PrintStream;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.standins.engine.EngineRecorder.Entry;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;
import org.wigeonglade.standins.engine.EngineStandIn;

/**
 * Judges a demo run and prints it for a reader without a technical background.
 */
final class DemoReport {

	private final OnlineRun online;

	private final BatchRun batch;

	private final BatchRun.Check check;

	private final BatchJob job;

	private long started;

	private long batchItemsStarted;

	private int wrongFailures;

	DemoReport(BatchJob job, OnlineRun online, BatchRun batch, FleetFixture fixture) {
		this.job = job;
		this.online = online;
		this.batch = batch;
		this.check = batch.check();
		countEngines(fixture);
	}

	BatchRun getBatch() {
		return this.batch;
	}

	boolean isOk() {
		return isOnlineOk() && isBatchOk();
	}

	JsonObject toJson() {
		return new JsonObject().put("ok", isOk())
			.put("online",
					new JsonObject().put("sent", this.online.getSent())
						.put("answered", this.online.getAnswered())
						.put("failed", this.online.getSent() - this.online.getAnswered())
						.put("first_token_p95_ms", this.online.getFirstTokenP95Millis()))
			.put("batch",
					new JsonObject().put("accepted", this.check.getAccepted())
						.put("completed", this.check.getCompleted())
						.put("failed", this.check.getFailed())
						.put("duplicate_outcomes", this.check.getDuplicates())
						.put("lost", this.check.getLost()))
			.put("engine",
					new JsonObject().put("started", this.started).put("batch_items_started", this.batchItemsStarted));
	}

	void print(PrintStream out) {
		out.println();
		out.printf(Locale.ROOT, "Online: %d of %d requests were answered in full; %d were sent again after a loss.%n",
				this.online.getAnswered(), this.online.getSent(), this.online.getResent());
		out.printf(Locale.ROOT, "        95 of 100 people saw the first word within %.1f ms.%n",
				this.online.getFirstTokenP95Millis());
		this.online.getFailures().stream().limit(5).forEach((failure) -> out.println("        failed: " + failure));
		if (this.batch.getBatchId().isEmpty()) {
			out.println("Batch:  the job was not accepted: " + this.batch.getRejection());
		}
		else {
			printBatch(out);
		}
		out.printf(Locale.ROOT,
				"Runners counted %d starts, %d of them batch items (an item may start again after a loss "
						+ "or to make room for people).%n",
				this.started, this.batchItemsStarted);
		out.println(isOk() ? "The promises held." : "A promise was broken.");
	}

	private void printBatch(PrintStream out) {
		out.printf(Locale.ROOT, "Batch:  %d items accepted as %s: %d completed, %d ended without a result.%n",
				this.check.getAccepted(), this.batch.getBatchId(), this.check.getCompleted(), this.check.getFailed());
		out.printf(Locale.ROOT, "        %d items have no outcome, %d have more than one, %d have a wrong result.%n",
				this.check.getLost(), this.check.getDuplicates(), this.check.getWrong());
		this.check.getFailures()
			.values()
			.stream()
			.limit(5)
			.forEach((failure) -> out.println("        without result: " + failure));
	}

	private boolean isOnlineOk() {
		return this.online.getAnswered() == this.online.getSent();
	}

	private boolean isBatchOk() {
		return !this.batch.getBatchId().isEmpty() && this.batch.isFinished() && this.check.getLost() == 0
				&& this.check.getDuplicates() == 0 && this.check.getWrong() == 0 && this.wrongFailures == 0;
	}

	private void countEngines(FleetFixture fixture) {
		Set<String> prompts = this.job.prompts();
		Set<String> completed = new HashSet<>();
		for (EngineStandIn engine : fixture.engines()) {
			for (Entry entry : engine.recorder().entries()) {
				if (entry.kind() == Kind.STARTED) {
					this.started++;
					this.batchItemsStarted += prompts.contains(entry.prompt()) ? 1 : 0;
				}
				else if (entry.kind() == Kind.COMPLETED) {
					completed.add(entry.prompt());
				}
			}
		}
		// An item may end without a result only if no engine ever completed it.
		for (String customId : this.check.getFailures().keySet()) {
			if (completed.contains(BatchJob.prompt(this.job.body(customId)))) {
				this.wrongFailures++;
			}
		}
	}

}
