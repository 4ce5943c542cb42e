package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.google.protobuf.ByteString;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.gateway.store.KeyedRecord;

/**
 * Guards against hosts with different positions of the same result, duplicate results of
 * an item, and jobs that are lost when the store removes older records.
 */
public class JobTableTests {

	private static final JobId JOB = JobId.of("job");

	@Test
	public void firstResultOfAnItemCounts() {
		JobTable table = new JobTable();
		List<KeyedRecord> stream = stream(accepted(3), result("i1", "first", "w1.1"), result("i0", "other", "w1.2"),
				result("i1", "second", "w2.1"));
		stream.forEach(table::apply);
		Job job = table.find(JOB).orElseThrow();
		Assert.assertEquals(texts(job), List.of("i1=first", "i0=other"));
		Assert.assertFalse(job.isOpen(ItemId.of("i1")));
		Assert.assertTrue(job.isOpen(ItemId.of("i2")));
	}

	@Test
	public void repeatedSubmissionChangesNothing() {
		JobTable table = new JobTable();
		stream(accepted(2), result("i1", "x", "w1.1"), accepted(2)).forEach(table::apply);
		Assert.assertEquals(table.find(JOB).orElseThrow().getItemCount(), 2);
		Assert.assertEquals(texts(table.find(JOB).orElseThrow()), List.of("i1=x"));
	}

	@Test
	public void incompleteJobIsNotFound() {
		JobTable table = new JobTable();
		List<KeyedRecord> parts = JobRecords.write(job(40, 8_000));
		Assert.assertTrue(parts.size() > 1);
		table.apply(parts.get(0));
		Assert.assertTrue(table.find(JOB).isEmpty());
		parts.forEach(table::apply);
		Assert.assertEquals(table.find(JOB).orElseThrow().getItemCount(), 40);
	}

	@Test
	public void listingOfCompactedStreamGivesTheSamePositions() {
		Random random = new Random(7);
		for (int round = 0; round < 50; round++) {
			List<List<KeyedRecord>> groups = new ArrayList<>();
			for (int i = 0; i < 12; i++) {
				groups.add(result("i" + random.nextInt(6), "text" + i, "w" + random.nextInt(3) + "." + i));
			}
			groups.add(random.nextInt(groups.size()), accepted(6));
			groups.add(accepted(6));
			List<KeyedRecord> stream = new ArrayList<>();
			groups.forEach((g) -> g.forEach((r) -> stream.add(new KeyedRecord(stream.size(), r.key(), r.value()))));
			JobTable following = new JobTable();
			stream.forEach(following::apply);
			Map<String, KeyedRecord> newest = new HashMap<>();
			stream.forEach((r) -> newest.put(r.key(), r));
			List<KeyedRecord> listing = new ArrayList<>(newest.values());
			listing.sort((a, b) -> Long.compare(a.offset(), b.offset()));
			JobTable listed = new JobTable();
			reset(listed, listing);
			Assert.assertEquals(texts(listed.find(JOB).orElseThrow()), texts(following.find(JOB).orElseThrow()));
			reset(following, listing);
			Assert.assertEquals(texts(following.find(JOB).orElseThrow()), texts(listed.find(JOB).orElseThrow()));
		}
	}

	// Guards against memory that grows with the bodies of all items, not only of those
	// that
	// may still be asked for.
	@Test
	public void bodiesAreKeptOnlyOfItemsWithoutAResult() {
		JobTable table = new JobTable();
		stream(result("i0", "early", "w.0"), accepted(3), result("i1", "x", "w.1")).forEach(table::apply);
		Job job = table.find(JOB).orElseThrow();
		Assert.assertEquals(bodyBytes(job), List.of(0, 0, 10));
		table.apply(new KeyedRecord(9, JobRecords.writeEnd(JOB).key(), JobRecords.writeEnd(JOB).value()));
		Assert.assertEquals(bodyBytes(job), List.of(0, 0, 0));
		Assert.assertEquals(job.getItemCount(), 3);
	}

	private static List<Integer> bodyBytes(Job job) {
		return job.getItems().stream().map((item) -> item.body().length).toList();
	}

	@Test
	public void endedJobKeepsItsResults() {
		JobTable table = new JobTable();
		stream(accepted(2), result("i0", "x", "w.1"), List.of(JobRecords.writeEnd(JOB))).forEach(table::apply);
		Job job = table.find(JOB).orElseThrow();
		Assert.assertTrue(job.isEnded() && job.isDone());
		Assert.assertEquals(texts(job), List.of("i0=x"));
	}

	@Test
	public void resultAppliedBeforeItsJobKeepsItsPosition() {
		JobTable table = new JobTable();
		stream(result("i1", "x", "w.1"), accepted(2)).forEach(table::apply);
		Job job = table.find(JOB).orElseThrow();
		Assert.assertEquals(texts(job), List.of("i1=x"));
		Assert.assertFalse(job.isOpen(ItemId.of("i1")));
	}

	@Test
	public void removedKeysRemoveTheJob() {
		JobTable table = new JobTable();
		stream(accepted(2)).forEach(table::apply);
		table.find(JOB).orElseThrow().getRecordKeys().forEach((key) -> table.apply(KeyedRecord.of(key, null)));
		Assert.assertTrue(table.find(JOB).isEmpty());
	}

	private static void reset(JobTable table, List<KeyedRecord> listing) {
		table.reset(listing, (record, failure) -> {
			throw failure;
		});
	}

	private static List<String> texts(Job job) {
		return job.getResults(0).stream().map((r) -> r.item() + "=" + r.output().toStringUtf8()).toList();
	}

	@SafeVarargs
	private static List<KeyedRecord> stream(List<KeyedRecord>... groups) {
		List<KeyedRecord> stream = new ArrayList<>();
		for (List<KeyedRecord> group : groups) {
			group.forEach((r) -> stream.add(new KeyedRecord(stream.size(), r.key(), r.value())));
		}
		return stream;
	}

	private static List<KeyedRecord> accepted(int items) {
		return JobRecords.write(job(items, 10));
	}

	private static List<KeyedRecord> result(String item, String text, String attempt) {
		ItemOutcome outcome = new ItemOutcome(ItemId.of(item), true, ByteString.copyFromUtf8(text));
		return Collections.singletonList(JobRecords.write(JOB, outcome, "", attempt));
	}

	private static SubmittedJob job(int items, int bodyBytes) {
		List<SubmittedItem> submitted = new ArrayList<>();
		for (int i = 0; i < items; i++) {
			submitted.add(new SubmittedItem(ItemId.of("i" + i), "/p/" + i, List.of(Map.entry("A", "b")),
					new byte[bodyBytes], 10));
		}
		return new SubmittedJob(JOB, "example", "/p/", 1_000, submitted);
	}

}
