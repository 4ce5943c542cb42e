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
 * Guards against hosts that disagree on which change won, a version that goes back, and a
 * reader that joins late and takes a change that lost.
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
	void everyPrefixAndEverySplitOfTheLogGivesTheSameState() {
		QuickTheory.qt().withFixedSeed(SEED).withExamples(300).forAll(races()).checkAssert((log) -> {
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
	void readerThatJoinsLateAgreesWhenTheCurrentVersionIsCarried() {
		QuickTheory.qt()
			.withFixedSeed(SEED)
			.withExamples(500)
			.forAll(races(), SourceDSL.integers().between(0, 40), SourceDSL.integers().between(0, 60))
			.checkAssert((races, carryAt, startAt) -> {
				List<LogRecord> log = new ArrayList<>(races.subList(0, Math.min(carryAt, races.size())));
				log.add(carry(replay(log, 0)));
				log.addAll(races.subList(Math.min(carryAt, races.size()), races.size()));
				log.add(carry(replay(log, 0)));
				// A paused host appends an old version long after it expired.
				log.add(carry(replay(races.subList(0, races.size() / 3), 0)));
				ConfigurationReplay whole = replay(log, 0);
				ConfigurationReplay late = replay(log, Math.min(startAt, log.size() - 2));
				Assert.assertEquals(late.getCurrent(), whole.getCurrent());
			});
	}

	@Test
	void carriedRecordDoesNotTakeAFollowerBack() {
		ConfigurationReplay first = replay(List.of(change(1, "ana", 1)), 0);
		LogRecord carried = carry(first);
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
	 * Gives logs in which each record has the version after one of the last versions, so
	 * that many records lose.
	 */
	private static Gen<List<LogRecord>> races() {
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

	private static LogRecord carry(ConfigurationReplay state) {
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
