package org.wigeonglade.core.batch;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Looks for a record of a writer by reading a stream forward to its head.
 */
final class LogSearch {

	private static final int RECORDS_PER_READ = 32;

	private LogSearch() {
	}

	static Uni<Found> find(LogService log, StreamName stream, WriterIdentity writer, long sequence, long from) {
		return log.read(stream, from, RECORDS_PER_READ).chain((slice) -> {
			long offset = scan(slice, writer, sequence);
			long next = slice.records().isEmpty() ? slice.headOffset()
					: slice.records().get(slice.records().size() - 1).offset() + 1;
			if (offset >= 0 || next >= slice.headOffset()) {
				return Uni.createFrom().item(new Found(offset, slice.headOffset()));
			}
			return find(log, stream, writer, sequence, next);
		});
	}

	private static long scan(LogSlice slice, WriterIdentity writer, long sequence) {
		for (StoredRecord stored : slice.records()) {
			try {
				LogRecord found = LogRecord.parseFrom(stored.payload());
				if (found.getSequence() == sequence && found.getIncarnation() == writer.incarnation()
						&& found.getHost().equals(writer.host())) {
					return stored.offset();
				}
			}
			catch (InvalidProtocolBufferException ex) {
				// A damaged record is not ours; the replay counts it.
				continue;
			}
		}
		return -1;
	}

	/**
	 * Result of a search.
	 *
	 * @param offset the offset of the record, -1 if it was not found
	 * @param head the head of the stream when it was read
	 */
	record Found(long offset, long head) {
	}

}
