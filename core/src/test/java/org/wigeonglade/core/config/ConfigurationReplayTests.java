package org.wigeonglade.core.config;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.quicktheories.QuickTheory;
import org.quicktheories.core.Gen;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Guards against hosts that disagree about the accepted change, a version that decreases,
 * and a reader of a truncated stream that keeps a change which was not accepted.
 */
public class ConfigurationReplayTests {

	private static final long SEED = 20_260_101L;

	@Test
	void firstChangeOfAVersionWinsAndABaseMustBeCurrent() {
		List<LogRecord> log = List.of(change(1, "ana", 1), change(1, "bea", 2), change(3, "cid", 3),
				change(2, "dan", 4));
		ConfigurationReplay state = replay(log, 0);
		Assert.assertEquals(state.getVersion(), 2);
		Assert.assertEquals(state.getHistory().stream().map(AcceptedChange::author).toList(), List.of("ana", "dan"));
	}

	@Test
	void replayIsIdempotentAndNeverLowersTheVersion() {
		QuickTheory.qt().withFixedSeed(SEED).withExamples(300).forAll(racingChanges()).checkAssert((log) -> {
			ConfigurationReplay whole = replay(log, 0);
			long last = 0;
			ConfigurationReplay state = ConfigurationReplay.start();
			for (int i = 0; i < log.size(); i++) {
				state = state.plus(i, log.get(i)).plus(i, log.get(i));
				Assert.assertTrue(state.getVersion() >= last && state.getVersion() <= last + 1);
				last = state.getVersion();
			}
			Assert.assertEquals(state.getCurrent(), whole.getCurrent());
			Assert.assertEquals(state.getHistory(), whole.getHistory());
		});
	}

	@Test
	void replayOfATruncatedStreamAgreesAfterACarriedCopy() {
		QuickTheory.qt()
			.withFixedSeed(SEED)
			.withExamples(500)
			.forAll(racingChanges(), SourceDSL.integers().between(0, 40), SourceDSL.integers().between(0, 60))
			.checkAssert((changes, copyAt, startAt) -> {
				List<LogRecord> log = new ArrayList<>(changes.subList(0, Math.min(copyAt, changes.size())));
				log.add(carriedCopy(replay(log, 0)));
				log.addAll(changes.subList(Math.min(copyAt, changes.size()), changes.size()));
				log.add(carriedCopy(replay(log, 0)));
				// A paused host appends a copy of an old version long after it expired.
				log.add(carriedCopy(replay(changes.subList(0, changes.size() / 3), 0)));
				ConfigurationReplay whole = replay(log, 0);
				ConfigurationReplay truncated = replay(log, Math.min(startAt, log.size() - 2));
				Assert.assertEquals(truncated.getCurrent(), whole.getCurrent());
			});
	}

	@Test
	void outdatedCarriedCopyDoesNotRevertTheVersion() {
		ConfigurationReplay first = replay(List.of(change(1, "ana", 1)), 0);
		LogRecord carried = carriedCopy(first);
		ConfigurationReplay state = replay(List.of(change(1, "ana", 1), change(2, "bea", 2), carried), 0);
		Assert.assertEquals(state.getVersion(), 2);
		Assert.assertEquals(state.getCurrentOffset(), 1);
	}

	@Test
	void unreadableRecordIsSkipped() {
		ConfigurationReplay state = ConfigurationReplay.start().plusUnreadable(0).plus(1, change(1, "ana", 1));
		Assert.assertEquals(state.getVersion(), 1);
		Assert.assertEquals(state.getNextOffset(), 2);
	}

	/**
	 * Generates logs in which the base of each change is one of the last versions, so
	 * that many changes are not accepted.
	 */
	private static Gen<List<LogRecord>> racingChanges() {
		return SourceDSL.lists().of(SourceDSL.integers().between(0, 3)).ofSizeBetween(1, 40).map((lags) -> {
			List<LogRecord> log = new ArrayList<>();
			ConfigurationReplay state = ConfigurationReplay.start();
			for (int i = 0; i < lags.size(); i++) {
				long base = Math.max(0, state.getVersion() - lags.get(i));
				LogRecord record = change(base + 1, "author-" + i, i + 1);
				log.add(record);
				state = state.plus(i, record);
			}
			return log;
		});
	}

	private static ConfigurationReplay replay(List<LogRecord> log, int oldest) {
		ConfigurationReplay state = ConfigurationReplay.start().withOldest(oldest);
		for (int i = oldest; i < log.size(); i++) {
			state = state.plus(i, log.get(i));
		}
		return state.withHeadReached();
	}

	private static LogRecord carriedCopy(ConfigurationReplay state) {
		ConfigChange current = state.getCurrent().orElse(ConfigChange.getDefaultInstance());
		return record(999, current.toBuilder().setCarried(true).build());
	}

	private static LogRecord change(long version, String author, int sequence) {
		return record(sequence,
				ConfigChange.newBuilder()
					.setVersion(version)
					.setBaseVersion(version - 1)
					.setAuthor(author)
					.setBody(ByteString.copyFromUtf8(author))
					.build());
	}

	private static LogRecord record(int sequence, ConfigChange change) {
		return LogRecord.newBuilder()
			.setHost("h")
			.setIncarnation(1)
			.setSequence(sequence)
			.addEntries(LogEntry.newBuilder().setConfigChange(change))
			.build();
	}

}
