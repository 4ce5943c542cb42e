package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.BatchItem;
import org.wigeonglade.schema.generated.log.ItemChunk;
import org.wigeonglade.schema.generated.log.ItemIntents;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.ItemOutcomes;
import org.wigeonglade.schema.generated.log.JobAccepted;
import org.wigeonglade.schema.generated.log.JobCancelled;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;
import org.wigeonglade.schema.generated.log.PartitionClaim;

/**
 * Factory of partition stream records for tests.
 */
final class Records {

	private Records() {
	}

	static LogRecord of(String host, long sequence, List<LogEntry> entries) {
		return LogRecord.newBuilder()
			.setHost(host)
			.setIncarnation(1)
			.setSequence(sequence)
			.setWallTimeMs(1000)
			.addAllEntries(entries)
			.build();
	}

	static LogEntry claim(String host, long term) {
		return LogEntry.newBuilder()
			.setPartitionClaim(PartitionClaim.newBuilder().setHost(host).setIncarnation(1).setTerm(term))
			.build();
	}

	static LogEntry chunk(String job, int from, int count, boolean carried, long term) {
		ItemChunk.Builder chunk = ItemChunk.newBuilder().setBatchId(job).setCarried(carried).setTerm(term);
		for (int i = from; i < from + count; i++) {
			chunk.addItems(BatchItem.newBuilder()
				.setIndex(i)
				.setCustomId("c" + i)
				.setBody(ByteString.copyFromUtf8("{\"model\":\"m\",\"n\":" + i + "}")));
		}
		return LogEntry.newBuilder().setItemChunk(chunk).build();
	}

	static LogEntry accept(String job, String key, String digest, int items) {
		return LogEntry.newBuilder()
			.setJobAccepted(JobAccepted.newBuilder()
				.setBatchId(job)
				.setWorkspace("w")
				.setIdempotencyKey(key)
				.setRequestDigest(ByteString.copyFromUtf8(digest))
				.setItemCount(items)
				.setService("s")
				.setIdempotent(true))
			.build();
	}

	static LogEntry outcome(String job, int index, OutcomeStatus status, long term, boolean carried) {
		return LogEntry.newBuilder()
			.setItemOutcomes(ItemOutcomes.newBuilder()
				.setBatchId(job)
				.setTerm(term)
				.setCarried(carried)
				.addOutcomes(ItemOutcome.newBuilder().setIndex(index).setStatus(status)))
			.build();
	}

	static LogEntry intent(String job, int index, long term, boolean crashed) {
		return LogEntry.newBuilder()
			.setItemIntents(
					ItemIntents.newBuilder().setBatchId(job).setTerm(term).addIndexes(index).setCrashed(crashed))
			.build();
	}

	static LogEntry cancel(String job) {
		return LogEntry.newBuilder().setJobCancelled(JobCancelled.newBuilder().setBatchId(job)).build();
	}

	static PartitionState replay(List<LogRecord> log) {
		PartitionState state = new PartitionState();
		for (int i = 0; i < log.size(); i++) {
			PartitionReplay.apply(state, i, log.get(i), ReplayObserver.NONE);
		}
		return state;
	}

	static PartitionReader read(List<LogRecord> log, long oldest, long start, int sliceSize) {
		PartitionReader reader = new PartitionReader(start, ReplayObserver.NONE);
		while (!reader.isCurrent()) {
			long from = Math.max(oldest, reader.getNextOffset());
			List<StoredRecord> records = new ArrayList<>();
			for (long i = from; i < Math.min(log.size(), from + sliceSize); i++) {
				records.add(new StoredRecord(i, log.get((int) i).toByteArray()));
			}
			reader.offer(new LogSlice(records, oldest, log.size()));
		}
		return reader;
	}

}
