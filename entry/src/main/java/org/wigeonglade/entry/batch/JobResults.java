package org.wigeonglade.entry.batch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.ItemState;
import org.wigeonglade.core.batch.JobState;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Streams the results of one job in the order of their records, so that each record is
 * read once. The next read is made when the receiver asks for more.
 */
final class JobResults {

	/** About 4 MB at the usual record size; only one answer is in memory. */
	private static final int RECORDS_PER_READ = 16;

	private final LogService log;

	private final StreamName stream;

	private final JobState job;

	private final long[] offsets;

	private int next;

	private JobResults(LogService log, StreamName stream, JobState job) {
		this.log = log;
		this.stream = stream;
		this.job = job;
		this.offsets = IntStream.range(0, job.size())
			.filter((i) -> job.getState(i) != ItemState.PENDING && job.getState(i) != ItemState.INTENDED)
			.mapToLong(job::getOffset)
			.sorted()
			.distinct()
			.toArray();
	}

	static Multi<byte[]> stream(LogService log, StreamName stream, JobState copy) {
		return Multi.createFrom().deferred(() -> {
			JobResults results = new JobResults(log, stream, copy);
			if (results.offsets.length == 0) {
				return Multi.createFrom().empty();
			}
			return Multi.createBy()
				.repeating()
				.uni(results::readNext)
				.until((lines) -> lines.length == 0)
				.filter((lines) -> lines.length > 1);
		});
	}

	// An empty array ends the stream; a single line break stands for a read without
	// lines.
	private Uni<byte[]> readNext() {
		if (this.next >= this.offsets.length) {
			return Uni.createFrom().item(new byte[0]);
		}
		long from = this.offsets[this.next];
		return this.log.read(this.stream, from, RECORDS_PER_READ).map((slice) -> write(from, slice));
	}

	private byte[] write(long from, LogSlice slice) {
		Map<Long, StoredRecord> records = new HashMap<>();
		slice.records().forEach((stored) -> records.put(stored.offset(), stored));
		if (!records.containsKey(from)) {
			throw new PlatformException(ErrorCode.OFFSET_EXPIRED,
					"the record at offset " + from + " of " + this.stream + " is not retained", null);
		}
		byte[][] parts = new byte[slice.records().size()][];
		int used = 0;
		while (this.next < this.offsets.length && records.containsKey(this.offsets[this.next])) {
			long offset = this.offsets[this.next++];
			parts[used++] = ResultLines.write(this.job, offset, decode(records.get(offset)));
		}
		int length = Arrays.stream(parts, 0, used).mapToInt((part) -> part.length).sum();
		if (length == 0) {
			return new byte[] { '\n' };
		}
		byte[] lines = new byte[length];
		int at = 0;
		for (int i = 0; i < used; i++) {
			System.arraycopy(parts[i], 0, lines, at, parts[i].length);
			at += parts[i].length;
		}
		return lines;
	}

	private static LogRecord decode(StoredRecord stored) {
		try {
			return LogRecord.parseFrom(stored.payload());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new PlatformException(ErrorCode.RECORD_INVALID,
					"the record at offset " + stored.offset() + " cannot be decoded", ex);
		}
	}

}
