package org.wigeonglade.bench.faults;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.bench.demo.FleetFixture;
import org.wigeonglade.bench.history.HistoryEntry;
import org.wigeonglade.bench.history.HistoryRecorder;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.standins.engine.EngineRecorder;
import org.wigeonglade.standins.engine.EngineRecorder.Kind;
import org.wigeonglade.standins.engine.EngineStandIn;

/**
 * Tells when a step of a flow is reached, from what the stand-ins see.
 */
final class StepTrigger {

	private static final long MID_STREAM_MILLIS = 12;

	private static final String BATCH = "batch ";

	private static final String ONLINE = "online ";

	private final CompletableFuture<Void> reached = new CompletableFuture<>();

	private StepTrigger() {
	}

	static StepTrigger arm(FleetFixture fixture, HistoryRecorder recorder, FlowStep step) {
		StepTrigger trigger = new StepTrigger();
		switch (step) {
			case ACCEPT -> trigger.onRecord(fixture, LogEntry::hasJobAccepted);
			case ACKNOWLEDGE -> recorder.listen((entry) -> {
				if (entry instanceof HistoryEntry.JobAccepted) {
					trigger.fire();
				}
			});
			case CLAIM -> trigger.onRecord(fixture, LogEntry::hasPartitionClaim);
			case OUTCOME -> trigger.onRecord(fixture, LogEntry::hasItemOutcomes);
			case CANCEL -> trigger.onRecord(fixture, LogEntry::hasJobCancelled);
			case PUBLISH -> trigger.onRecord(fixture, LogEntry::hasConfigChange);
			case DISPATCH -> trigger.onWork(fixture, Kind.QUEUED, BATCH, 0);
			case FIRST_TOKEN -> trigger.onWork(fixture, Kind.FIRST_TOKEN, ONLINE, 0);
			case STREAM -> trigger.onWork(fixture, Kind.FIRST_TOKEN, ONLINE, MID_STREAM_MILLIS);
			case DRAIN -> {
				// Reached when the cell begins the planned stop.
			}
		}
		return trigger;
	}

	void fire() {
		this.reached.completeAsync(() -> null);
	}

	boolean await(long millis) {
		try {
			this.reached.get(millis, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException ex) {
			return false;
		}
	}

	private void onRecord(FleetFixture fixture, Predicate<LogEntry> wanted) {
		fixture.log().listen((stream, payload) -> {
			try {
				if (LogRecord.parseFrom(payload).getEntriesList().stream().anyMatch(wanted)) {
					fire();
				}
			}
			catch (InvalidProtocolBufferException ex) {
				throw new IllegalStateException("a host appended an unreadable record to " + stream, ex);
			}
		});
	}

	private void onWork(FleetFixture fixture, Kind kind, String prefix, long delayMillis) {
		for (EngineStandIn engine : fixture.engines()) {
			engine.recorder().listen((EngineRecorder.Entry entry) -> {
				if (entry.kind() == kind && entry.prompt().startsWith(prefix)) {
					if (delayMillis > 0) {
						fixture.vertx().setTimer(delayMillis, (id) -> fire());
					}
					else {
						fire();
					}
				}
			});
		}
	}

}
