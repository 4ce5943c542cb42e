package org.wigeonglade.bench.batch;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
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
 * Encoded stream of a partition whose jobs are done, for the measurement of rebuilds.
 */
final class MemoryLog {

	/** Largest job of the target size. */
	private static final int ITEMS_PER_JOB = 150_000;

	private static final int ITEMS_PER_CHUNK = 1000;

	/** Outcomes that one group commit collects at the target rate. */
	private static final int OUTCOMES_PER_RECORD = 100;

	private static final int BODY_BYTES = 120;

	private final List<byte[]> records = new ArrayList<>();

	private long sequence;

	private MemoryLog() {
	}

	static MemoryLog withItems(int items) {
		MemoryLog log = new MemoryLog();
		log.add(LogEntry.newBuilder()
			.setPartitionClaim(PartitionClaim.newBuilder().setTerm(1).setHost("host").setIncarnation(1))
			.build());
		for (int from = 0; from < items; from += ITEMS_PER_JOB) {
			log.addJob("batch-0-job" + from, Math.min(ITEMS_PER_JOB, items - from));
		}
		return log;
	}

	LogSlice read(long from, int max) {
		List<StoredRecord> slice = new ArrayList<>();
		for (long i = from; i < Math.min(this.records.size(), from + max); i++) {
			slice.add(new StoredRecord(i, this.records.get((int) i)));
		}
		return new LogSlice(slice, 0, this.records.size());
	}

	int size() {
		return this.records.size();
	}

	private void addJob(String id, int items) {
		ByteString body = ByteString.copyFrom(new byte[BODY_BYTES]);
		for (int from = 0; from < items; from += ITEMS_PER_CHUNK) {
			ItemChunk.Builder chunk = ItemChunk.newBuilder().setBatchId(id);
			for (int i = from; i < Math.min(items, from + ITEMS_PER_CHUNK); i++) {
				chunk.addItems(BatchItem.newBuilder().setIndex(i).setCustomId("row-" + i).setBody(body));
			}
			add(LogEntry.newBuilder().setItemChunk(chunk).build());
		}
		add(LogEntry.newBuilder()
			.setJobAccepted(
					JobAccepted.newBuilder().setBatchId(id).setWorkspace("w").setItemCount(items).setService("s"))
			.build());
		for (int from = 0; from < items; from += OUTCOMES_PER_RECORD) {
			ItemOutcomes.Builder outcomes = ItemOutcomes.newBuilder().setBatchId(id).setTerm(1);
			for (int i = from; i < Math.min(items, from + OUTCOMES_PER_RECORD); i++) {
				outcomes.addOutcomes(ItemOutcome.newBuilder()
					.setIndex(i)
					.setStatus(OutcomeStatus.COMPLETED)
					.setResult(body)
					.setCustomId("row-" + i));
			}
			add(LogEntry.newBuilder().setItemOutcomes(outcomes).build());
		}
	}

	private void add(LogEntry entry) {
		this.records.add(LogRecord.newBuilder()
			.setHost("host")
			.setIncarnation(1)
			.setSequence(++this.sequence)
			.addEntries(entry)
			.build()
			.toByteArray());
	}

}
