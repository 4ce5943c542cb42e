package org.wigeonglade.bench.capacity;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.batch.PartitionReader;
import org.wigeonglade.core.batch.PartitionSnapshot;
import org.wigeonglade.core.batch.ReplayObserver;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.BatchItem;
import org.wigeonglade.schema.generated.log.ItemChunk;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.ItemOutcomes;
import org.wigeonglade.schema.generated.log.JobAccepted;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;
import org.wigeonglade.schema.generated.log.PartitionClaim;

/**
 * Measures what one batch item costs in the log and in a replay. Jobs have 1,000 items; a
 * body has 300 bytes and a result 600 bytes, about a short prompt and its answer.
 */
final class ReplaySlopes {

	static final int BODY_BYTES = 300;

	static final int RESULT_BYTES = 600;

	private static final int ITEMS_PER_JOB = 1000;

	private static final int CHUNK_ITEMS = 200;

	private static final int OUTCOMES_PER_RECORD = 100;

	private static final long TERM = 1;

	private static final int SLICE_RECORDS = 256;

	private ReplaySlopes() {
	}

	static Slope time(List<Integer> sizes) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			List<byte[]> log = log(size, BODY_BYTES, RESULT_BYTES);
			points.add(new Slope.Point(size, Measure.cpuNanos(() -> replay(log)) / 1000));
		}
		return Slope.fit("replay.time", "items", "us", points);
	}

	static Slope memory(List<Integer> sizes) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			List<byte[]> log = log(size, 0, 0);
			points.add(new Slope.Point(size, Measure.retainedBytes(() -> replay(log))));
		}
		return Slope.fit("replay.memory", "items", "bytes", points);
	}

	static Slope snapshotBytes(List<Integer> sizes) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			PartitionReader reader = replay(log(size, 0, 0));
			long bytes = PartitionSnapshot.encode(reader.getState(), "snapshot")
				.stream()
				.mapToLong(LogEntry::getSerializedSize)
				.sum();
			points.add(new Slope.Point(size, bytes));
		}
		return Slope.fit("snapshot.bytes", "items", "bytes", points);
	}

	static Slope logBytes(List<Integer> sizes, int bodyBytes, int resultBytes, String name) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			long bytes = log(size, bodyBytes, resultBytes).stream().mapToLong((record) -> record.length).sum();
			points.add(new Slope.Point(size, bytes));
		}
		return Slope.fit(name, "items", "bytes", points);
	}

	private static PartitionReader replay(List<byte[]> log) {
		PartitionReader reader = new PartitionReader(0, ReplayObserver.NONE);
		while (!reader.isCurrent()) {
			List<StoredRecord> records = new ArrayList<>();
			long from = reader.getNextOffset();
			for (long i = from; i < Math.min(log.size(), from + SLICE_RECORDS); i++) {
				records.add(new StoredRecord(i, log.get((int) i)));
			}
			reader.offer(new LogSlice(records, 0, log.size()));
		}
		return reader;
	}

	private static List<byte[]> log(int items, int bodyBytes, int resultBytes) {
		List<byte[]> log = new ArrayList<>();
		append(log,
				LogEntry.newBuilder()
					.setPartitionClaim(PartitionClaim.newBuilder().setHost("entry-1").setIncarnation(1).setTerm(TERM))
					.build());
		ByteString body = ByteString.copyFromUtf8("x".repeat(bodyBytes));
		ByteString result = ByteString.copyFromUtf8("y".repeat(resultBytes));
		for (int first = 0; first < items; first += ITEMS_PER_JOB) {
			String job = "batch-0-" + String.format("%08d", first);
			int count = Math.min(ITEMS_PER_JOB, items - first);
			appendJob(log, job, count, body);
			appendOutcomes(log, job, count, result);
		}
		return log;
	}

	private static void appendJob(List<byte[]> log, String job, int count, ByteString body) {
		for (int from = 0; from < count; from += CHUNK_ITEMS) {
			ItemChunk.Builder chunk = ItemChunk.newBuilder().setBatchId(job);
			for (int i = from; i < Math.min(count, from + CHUNK_ITEMS); i++) {
				chunk.addItems(BatchItem.newBuilder().setIndex(i).setCustomId("row-" + i).setBody(body));
			}
			append(log, LogEntry.newBuilder().setItemChunk(chunk).build());
		}
		append(log,
				LogEntry.newBuilder()
					.setJobAccepted(JobAccepted.newBuilder()
						.setBatchId(job)
						.setWorkspace("etiquetas")
						.setIdempotencyKey("key-" + job)
						.setRequestDigest(ByteString.copyFromUtf8("d".repeat(32)))
						.setItemCount(count)
						.setService("lm-rotulo")
						.setIdempotent(true))
					.build());
	}

	private static void appendOutcomes(List<byte[]> log, String job, int count, ByteString result) {
		for (int from = 0; from < count; from += OUTCOMES_PER_RECORD) {
			ItemOutcomes.Builder outcomes = ItemOutcomes.newBuilder().setBatchId(job).setTerm(TERM);
			for (int i = from; i < Math.min(count, from + OUTCOMES_PER_RECORD); i++) {
				outcomes.addOutcomes(ItemOutcome.newBuilder()
					.setIndex(i)
					.setStatus(OutcomeStatus.COMPLETED)
					.setResult(result)
					.setAttempts(1)
					.setTokens(120)
					.setUpstream("lm-rotulo-7"));
			}
			append(log, LogEntry.newBuilder().setItemOutcomes(outcomes).build());
		}
	}

	private static void append(List<byte[]> log, LogEntry entry) {
		log.add(LogRecord.newBuilder()
			.setHost("entry-1")
			.setIncarnation(1_767_225_600_000L)
			.setSequence(log.size() + 1L)
			.setWallTimeMs(1_767_225_600_000L)
			.addEntries(entry)
			.build()
			.toByteArray());
	}

}
