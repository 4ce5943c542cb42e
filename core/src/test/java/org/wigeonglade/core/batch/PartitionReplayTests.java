package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.quicktheories.QuickTheory;
import org.quicktheories.core.Gen;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;

/**
 * Guards against an item with two outcomes, records of a replaced owner that take effect,
 * duplicate records that are applied twice, and readers whose state differs after a
 * truncation of the log.
 */
public class PartitionReplayTests {

	private static final long SEED = 20260104L;

	private static final int EXAMPLES = 600;

	private static Gen<List<Integer>> choices() {
		return SourceDSL.lists().of(SourceDSL.integers().between(0, 1 << 16)).ofSizeBetween(1, 60);
	}

	private static QuickTheory theory() {
		return QuickTheory.qt().withFixedSeed(SEED).withExamples(EXAMPLES).withShrinkCycles(200);
	}

	@Test
	void firstOutcomeIsFinalAndKeysAreUnique() {
		theory().forAll(choices()).checkAssert((choices) -> {
			Map<String, Integer> seen = new HashMap<>();
			PartitionState state = new PartitionState();
			List<LogRecord> log = new RandomLog(choices, true).getLog();
			for (int i = 0; i < log.size(); i++) {
				PartitionReplay.apply(state, i, log.get(i), ReplayObserver.NONE);
				Set<String> keys = new HashSet<>();
				for (JobState job : state.getJobs()) {
					String key = job.getAccepted().getIdempotencyKey();
					Assert.assertTrue(key.isEmpty() || keys.add(key), "two jobs with key " + key);
					int open = 0;
					for (int item = 0; item < job.size(); item++) {
						int now = job.getState(item);
						Integer old = seen.put(job.getId() + "/" + item, now);
						Assert.assertTrue(old == null || ItemState.isOpen(old) || old == now,
								"outcome " + old + " became " + now);
						open += ItemState.isOpen(now) ? 1 : 0;
					}
					Assert.assertEquals(job.countOpen(), open);
				}
			}
		});
	}

	@Test
	void duplicatesChangeOnlyOffsets() {
		theory().forAll(choices()).checkAssert((choices) -> {
			List<LogRecord> log = new RandomLog(choices, false).getLog();
			List<LogRecord> withDuplicates = new ArrayList<>();
			for (int i = 0; i < log.size(); i++) {
				withDuplicates.add(log.get(i));
				withDuplicates.add(log.get(choices.get(0) % (i + 1)));
			}
			Assert.assertEquals(statuses(Records.replay(withDuplicates)), statuses(Records.replay(log)));
		});
	}

	@Test
	void truncationAtAnyCoveredOffsetGivesTheStateOfTheFullLog() {
		theory().forAll(choices()).checkAssert((choices) -> {
			List<LogRecord> log = new RandomLog(choices, true).getLog();
			PartitionState full = Records.replay(log);
			for (int oldest = 0; oldest <= full.getSnapshotCovers() + 1; oldest++) {
				PartitionReader reader = Records.read(log, oldest, 0, 3);
				Assert.assertFalse(reader.isHistoryLost(), "truncated at " + oldest);
				Assert.assertEquals(reader.getState().describe(), full.describe(), "truncated at " + oldest);
			}
		});
	}

	@Test
	void truncationDuringReplayRestartsFromTheSnapshot() {
		theory().forAll(choices()).checkAssert((choices) -> {
			List<LogRecord> log = new RandomLog(choices, true).getLog();
			PartitionState full = Records.replay(log);
			PartitionReader reader = Records.read(log.subList(0, log.size() / 2), 0, 0, 5);
			long oldest = full.getSnapshotCovers() + 1;
			List<StoredRecord> rest = new ArrayList<>();
			while (reader.getState().getAppliedOffset() < log.size() - 1) {
				rest.clear();
				for (long i = Math.max(oldest, reader.getNextOffset()); i < log.size(); i++) {
					rest.add(new StoredRecord(i, log.get((int) i).toByteArray()));
				}
				reader.offer(new LogSlice(rest, oldest, log.size()));
			}
			Assert.assertEquals(reader.getState().describe(), full.describe());
		});
	}

	@Test
	void recordOfReplacedOwnerIsIgnored() {
		List<LogRecord> log = List.of(Records.of("a", 1, List.of(Records.claim("a", 1))),
				Records.of("a", 2, List.of(Records.chunk("j", 0, 1, false, 0), Records.accept("j", "", "d", 1))),
				Records.of("b", 1, List.of(Records.claim("b", 2))),
				Records.of("a", 3, List.of(Records.outcome("j", 0, OutcomeStatus.COMPLETED, 1, false))));
		PartitionState state = Records.replay(log);
		Assert.assertEquals(state.findJob("j").orElseThrow().getState(0), ItemState.PENDING);
		Assert.assertTrue(state.isOwnedBy("b", 1, 2));
	}

	@Test
	void startsFromSnapshotOffsetWithoutReadingOlderRecords() {
		List<Integer> choices = List.of(0, 2, 8, 22, 2);
		List<LogRecord> log = new RandomLog(choices, false).getLog();
		PartitionState full = Records.replay(log);
		Assert.assertTrue(full.getSnapshotCovers() > 0, "no snapshot in " + log);
		PartitionReader reader = Records.read(log, 0, full.getSnapshotCovers() + 1, 2);
		Assert.assertEquals(reader.getState().describe(), full.describe());
	}

	private static String statuses(PartitionState state) {
		StringBuilder text = new StringBuilder().append(state.getTerm()).append(state.getOwnerHost());
		for (JobState job : state.getJobs()) {
			text.append(job.getId()).append(job.isCancelled());
			for (int i = 0; i < job.size(); i++) {
				text.append(job.getState(i)).append(job.getCrashes(i));
			}
		}
		state.keys().forEach((key, value) -> text.append(key).append(value.batchId()).append(value.intent()));
		return text.toString();
	}

}
