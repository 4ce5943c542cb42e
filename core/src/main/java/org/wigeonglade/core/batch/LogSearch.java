package org.wigeonglade.core.batch;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Searches a stream for a record by its writer and sequence number, reading forward up to
 * the head.
 */
final class LogSearch {

	private static final int RECORDS_PER_READ = 32;

	private LogSearch() {
	}

	static Uni<Result> find(LogService log, StreamName stream, WriterIdentity writer, long sequence, long from) {
		return log.read(stream, from, RECORDS_PER_READ).chain((slice) -> {
			long offset = findInSlice(slice, writer, sequence);
			long next = slice.records().isEmpty() ? slice.headOffset()
					: slice.records().get(slice.records().size() - 1).offset() + 1;
			if (offset >= 0 || next >= slice.headOffset()) {
				return Uni.createFrom().item(new Result(offset, slice.headOffset()));
			}
			return find(log, stream, writer, sequence, next);
		});
	}

	private static long findInSlice(LogSlice slice, WriterIdentity writer, long sequence) {
		for (StoredRecord stored : slice.records()) {
			try {
				LogRecord candidate = LogRecord.parseFrom(stored.payload());
				if (candidate.getSequence() == sequence && candidate.getIncarnation() == writer.incarnation()
						&& candidate.getHost().equals(writer.host())) {
					return stored.offset();
				}
			}
			catch (InvalidProtocolBufferException ex) {
				// Undecodable records are skipped here and counted by PartitionReader.
				continue;
			}
		}
		return -1;
	}

	/**
	 * Result of a search.
	 *
	 * @param offset the offset of the record, -1 if it was not found
	 * @param headOffset the head of the stream at the last read
	 */
	record Result(long offset, long headOffset) {
	}

}
