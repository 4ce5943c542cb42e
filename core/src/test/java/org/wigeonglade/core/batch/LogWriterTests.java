package org.wigeonglade.core.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.batch.FaultyLog.Fault;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Guards against entries that are lost, applied twice or reported wrongly when answers of
 * the log are lost, and against a writer that exceeds its append budget.
 */
public class LogWriterTests {

	private static final StreamName STREAM = StreamName.of("jobs-0");

	private final ManualLane lane = new ManualLane();

	private FaultyLog log;

	private LogWriter writer(double rate) {
		this.log = new FaultyLog();
		return new LogWriter(STREAM, new WriterIdentity("a", 1), this.log, this.lane, this.lane.getTicker(),
				new AppendPacer(rate), WriterOptions.of(Duration.ofMillis(20)), new Random(7), () -> -1);
	}

	@Test
	void collectsEntriesAndPlacesInteractiveOnesFirst() {
		LogWriter writer = writer(1000);
		append(writer, "bulk", false, null);
		append(writer, "person", true, null);
		this.lane.advance(1);
		Assert.assertEquals(this.log.getCalls(), 0);
		this.lane.advance(20);
		List<LogRecord> records = this.log.records(STREAM);
		Assert.assertEquals(records.size(), 1);
		Assert.assertEquals(records.get(0).getEntries(0).getJobCancelled().getBatchId(), "person");
		Assert.assertEquals(records.get(0).getEntries(1).getJobCancelled().getBatchId(), "bulk");
	}

	@Test
	void fullRecordIsAppendedWithoutDelay() {
		LogWriter writer = writer(1000);
		append(writer, "x".repeat(300_000), false, null);
		append(writer, "y".repeat(300_000), false, null);
		this.lane.advance(5);
		Assert.assertEquals(this.log.records(STREAM).size(), 2);
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] { { Fault.LOST_ANSWER }, { Fault.LOST_REQUEST }, { Fault.LATE }, { Fault.REFUSED },
				{ Fault.SILENT } };
	}

	@Test(dataProvider = "faults")
	void oneFaultNeitherLosesNorDoublesAnEntry(Fault fault) {
		LogWriter writer = writer(1000);
		this.log.script(fault);
		CompletableFuture<Long> first = append(writer, "one", false, null);
		this.lane.advance(30_000);
		CompletableFuture<Long> second = append(writer, "two", false, null);
		this.lane.advance(30_000);
		this.log.deliverDelayed();
		Assert.assertTrue(first.isDone() && second.isDone());
		Assert.assertEquals(appliedOnce(), Set.of("one", "two"));
	}

	@Test
	void lostAnswerIsReadBackBeforeAnyFurtherAppend() {
		LogWriter writer = writer(1000);
		this.log.script(Fault.LOST_ANSWER);
		this.log.setReadable(false);
		CompletableFuture<Long> first = append(writer, "one", false, null);
		this.lane.advance(100);
		append(writer, "two", false, null);
		this.lane.advance(10_000);
		Assert.assertEquals(this.log.getCalls(), 1, "appended before the first append was decided");
		this.log.setReadable(true);
		this.lane.advance(10_000);
		Assert.assertEquals(first.join(), Long.valueOf(0));
		Assert.assertEquals(this.log.getCalls(), 2);
	}

	@Test
	void entryThatNeverLeftFailsAsNotAppended() {
		LogWriter writer = writer(1000);
		this.log.script(Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED,
				Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED);
		CompletableFuture<Long> refused = append(writer, "one", true, Duration.ofMillis(200));
		this.lane.advance(60_000);
		Assert.assertEquals(code(refused), ErrorCode.PLATFORM_UNAVAILABLE);
		Assert.assertEquals(this.log.records(STREAM), List.of(), "appended after it was reported as refused");
	}

	@Test
	void entryWithLostAnswerFailsAsUnknown() {
		LogWriter writer = writer(1000);
		this.log.script(Fault.LOST_ANSWER);
		this.log.setReadable(false);
		CompletableFuture<Long> unknown = append(writer, "one", true, Duration.ofMillis(200));
		this.lane.advance(1000);
		Assert.assertEquals(code(unknown), ErrorCode.PLATFORM_UNKNOWN);
	}

	@Test
	void staysWithinTheBudget() {
		LogWriter writer = writer(10);
		for (int i = 0; i < 1000; i++) {
			append(writer, "e" + i, (i % 3) == 0, null);
			this.lane.advance(10);
		}
		Assert.assertTrue(this.log.getCalls() <= 103, this.log.getCalls() + " appends in 10 s at 10 a second");
		this.lane.advance(1000);
		Assert.assertEquals(appliedOnce().size(), 1000);
	}

	@Test
	void randomFaultsNeitherLoseNorDoubleEntries() {
		Random random = new Random(11);
		for (int round = 0; round < 200; round++) {
			LogWriter writer = writer(1000);
			List<CompletableFuture<Long>> all = new ArrayList<>();
			for (int i = 0; i < 30; i++) {
				Fault[] faults = Fault.values();
				this.log.script(faults[random.nextInt(faults.length)]);
				all.add(append(writer, "e" + i, random.nextBoolean(), null));
				this.lane.advance(random.nextInt(100));
				if (random.nextInt(5) == 0) {
					this.log.deliverDelayed();
				}
			}
			this.lane.advance(600_000);
			this.log.deliverDelayed();
			Assert.assertTrue(all.stream().allMatch(CompletableFuture::isDone), "round " + round);
			Assert.assertEquals(appliedOnce().size(), 30, "round " + round);
		}
	}

	private CompletableFuture<Long> append(LogWriter writer, String id, boolean urgent, Duration timeout) {
		LogEntry entry = Records.cancel(id);
		CompletableFuture<Long> future = writer.append(List.of(entry), urgent, timeout, () -> true)
			.subscribeAsCompletionStage();
		this.lane.runReady();
		return future;
	}

	private Set<String> appliedOnce() {
		Set<String> applied = new HashSet<>();
		PartitionState state = new PartitionState();
		List<LogRecord> records = this.log.records(STREAM);
		for (int i = 0; i < records.size(); i++) {
			long duplicates = state.getDuplicates();
			PartitionReplay.apply(state, i, records.get(i), ReplayObserver.NONE);
			if (state.getDuplicates() == duplicates) {
				records.get(i)
					.getEntriesList()
					.forEach((entry) -> Assert.assertTrue(applied.add(entry.getJobCancelled().getBatchId()),
							"applied twice: " + entry));
			}
		}
		return applied;
	}

	private static ErrorCode code(CompletableFuture<Long> future) {
		Throwable failure = future.handle((offset, ex) -> ex).join();
		Assert.assertTrue(failure instanceof PlatformException, "not a failure of the platform: " + failure);
		return ((PlatformException) failure).getCode();
	}

}
