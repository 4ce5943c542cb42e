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
 * Guards against entries that are lost, applied twice or reported with the wrong code
 * when the log does not answer an append, and against a writer that exceeds its append
 * budget.
 */
public class LogWriterTests {

	private static final StreamName STREAM = StreamName.of("jobs-0");

	private final ManualExecutor executor = new ManualExecutor();

	private FaultyLog log;

	private LogWriter writer(double rate) {
		this.log = new FaultyLog();
		return new LogWriter(STREAM, new WriterIdentity("a", 1), this.log, this.executor, this.executor.getTicker(),
				new AppendPacer(rate), WriterOptions.of(Duration.ofMillis(20)), new Random(7), () -> -1);
	}

	@Test
	void groupsEntriesWithInteractiveOnesFirst() {
		LogWriter writer = writer(1000);
		append(writer, "bulk", false, null);
		append(writer, "person", true, null);
		this.executor.advance(1);
		Assert.assertEquals(this.log.getCalls(), 0);
		this.executor.advance(20);
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
		this.executor.advance(5);
		Assert.assertEquals(this.log.records(STREAM).size(), 2);
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] { { Fault.LOST_ANSWER }, { Fault.LOST_REQUEST }, { Fault.DELAYED }, { Fault.REFUSED },
				{ Fault.NO_ANSWER } };
	}

	@Test(dataProvider = "faults")
	void singleFaultNeitherLosesNorDuplicatesAnEntry(Fault fault) {
		LogWriter writer = writer(1000);
		this.log.injectFaults(fault);
		CompletableFuture<Long> first = append(writer, "one", false, null);
		this.executor.advance(30_000);
		CompletableFuture<Long> second = append(writer, "two", false, null);
		this.executor.advance(30_000);
		this.log.deliverDelayedAppends();
		Assert.assertTrue(first.isDone() && second.isDone());
		Assert.assertEquals(replayAppliedOnce(), Set.of("one", "two"));
	}

	@Test
	void readsBackAfterLostAnswerBeforeAnyFurtherAppend() {
		LogWriter writer = writer(1000);
		this.log.injectFaults(Fault.LOST_ANSWER);
		this.log.setReadable(false);
		CompletableFuture<Long> first = append(writer, "one", false, null);
		this.executor.advance(100);
		append(writer, "two", false, null);
		this.executor.advance(10_000);
		Assert.assertEquals(this.log.getCalls(), 1, "sent an append before the result of the first was known");
		this.log.setReadable(true);
		this.executor.advance(10_000);
		Assert.assertEquals(first.join(), Long.valueOf(0));
		Assert.assertEquals(this.log.getCalls(), 2);
	}

	@Test
	void refusedEntryFailsAsNotAppended() {
		LogWriter writer = writer(1000);
		this.log.injectFaults(Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED,
				Fault.REFUSED, Fault.REFUSED, Fault.REFUSED, Fault.REFUSED);
		CompletableFuture<Long> refused = append(writer, "one", true, Duration.ofMillis(200));
		this.executor.advance(60_000);
		Assert.assertEquals(code(refused), ErrorCode.PLATFORM_UNAVAILABLE);
		Assert.assertEquals(this.log.records(STREAM), List.of(), "appended after the call had failed as not appended");
	}

	@Test
	void entryWithLostAnswerFailsAsUnknown() {
		LogWriter writer = writer(1000);
		this.log.injectFaults(Fault.LOST_ANSWER);
		this.log.setReadable(false);
		CompletableFuture<Long> unknown = append(writer, "one", true, Duration.ofMillis(200));
		this.executor.advance(1000);
		Assert.assertEquals(code(unknown), ErrorCode.PLATFORM_UNKNOWN);
	}

	@Test
	void staysWithinTheAppendBudget() {
		LogWriter writer = writer(10);
		for (int i = 0; i < 1000; i++) {
			append(writer, "e" + i, (i % 3) == 0, null);
			this.executor.advance(10);
		}
		Assert.assertTrue(this.log.getCalls() <= 103, this.log.getCalls() + " appends in 10 s at 10 per second");
		this.executor.advance(1000);
		Assert.assertEquals(replayAppliedOnce().size(), 1000);
	}

	@Test
	void randomFaultsNeitherLoseNorDuplicateEntries() {
		Random random = new Random(11);
		for (int round = 0; round < 200; round++) {
			LogWriter writer = writer(1000);
			List<CompletableFuture<Long>> all = new ArrayList<>();
			for (int i = 0; i < 30; i++) {
				Fault[] faults = Fault.values();
				this.log.injectFaults(faults[random.nextInt(faults.length)]);
				all.add(append(writer, "e" + i, random.nextBoolean(), null));
				this.executor.advance(random.nextInt(100));
				if (random.nextInt(5) == 0) {
					this.log.deliverDelayedAppends();
				}
			}
			this.executor.advance(600_000);
			this.log.deliverDelayedAppends();
			Assert.assertTrue(all.stream().allMatch(CompletableFuture::isDone), "round " + round);
			Assert.assertEquals(replayAppliedOnce().size(), 30, "round " + round);
		}
	}

	private CompletableFuture<Long> append(LogWriter writer, String id, boolean interactive, Duration timeout) {
		LogEntry entry = Records.cancel(id);
		CompletableFuture<Long> future = writer.append(List.of(entry), interactive, timeout, () -> true)
			.subscribeAsCompletionStage();
		this.executor.runReady();
		return future;
	}

	private Set<String> replayAppliedOnce() {
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
		Assert.assertTrue(failure instanceof PlatformException, "not a PlatformException: " + failure);
		return ((PlatformException) failure).getCode();
	}

}
