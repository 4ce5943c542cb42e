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
 * Streams the results of one job in the order of the records that hold them, so that each
 * record is read only once. The log is read when the subscriber requests more.
 */
final class JobResultReader {

	/** About 4 MB at the usual record size; one slice at a time is in memory. */
	private static final int RECORDS_PER_READ = 16;

	private final LogService log;

	private final StreamName stream;

	private final JobState job;

	private final long[] offsets;

	private int nextIndex;

	private JobResultReader(LogService log, StreamName stream, JobState job) {
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

	static Multi<byte[]> stream(LogService log, StreamName stream, JobState snapshot) {
		return Multi.createFrom().deferred(() -> {
			JobResultReader results = new JobResultReader(log, stream, snapshot);
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

	// An empty array ends the stream; a single line feed marks a read without results.
	private Uni<byte[]> readNext() {
		if (this.nextIndex >= this.offsets.length) {
			return Uni.createFrom().item(new byte[0]);
		}
		long from = this.offsets[this.nextIndex];
		return this.log.read(this.stream, from, RECORDS_PER_READ).map((slice) -> toLines(from, slice));
	}

	private byte[] toLines(long from, LogSlice slice) {
		Map<Long, StoredRecord> records = new HashMap<>();
		slice.records().forEach((stored) -> records.put(stored.offset(), stored));
		if (!records.containsKey(from)) {
			throw new PlatformException(ErrorCode.OFFSET_EXPIRED,
					"the record at offset " + from + " of " + this.stream + " is not retained", null);
		}
		byte[][] parts = new byte[slice.records().size()][];
		int count = 0;
		while (this.nextIndex < this.offsets.length && records.containsKey(this.offsets[this.nextIndex])) {
			long offset = this.offsets[this.nextIndex++];
			parts[count++] = ResultLineWriter.write(this.job, offset, decode(records.get(offset)));
		}
		int length = Arrays.stream(parts, 0, count).mapToInt((part) -> part.length).sum();
		if (length == 0) {
			return new byte[] { '\n' };
		}
		byte[] lines = new byte[length];
		int position = 0;
		for (int i = 0; i < count; i++) {
			System.arraycopy(parts[i], 0, lines, position, parts[i].length);
			position += parts[i].length;
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
