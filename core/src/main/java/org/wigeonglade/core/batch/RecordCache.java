package org.wigeonglade.core.batch;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Reads single records by offset and keeps the last ones within a bound of bytes, because
 * neighbouring items share a record. Thread-safe.
 */
public final class RecordCache {

	private final LogService log;

	private final Cache<Position, LogRecord> records;

	/**
	 * Creates a cache.
	 * @param log the log
	 * @param maxBytes the largest encoded size of all kept records
	 */
	public RecordCache(LogService log, long maxBytes) {
		this.log = log;
		this.records = CacheBuilder.newBuilder()
			.concurrencyLevel(1)
			.maximumWeight(maxBytes)
			.weigher((Position at, LogRecord found) -> found.getSerializedSize())
			.build();
	}

	/**
	 * Reads a record.
	 * @param stream the stream
	 * @param offset the offset
	 * @return the record; fails with {@link PlatformException}, with the code
	 * {@code OFFSET_EXPIRED} if it is no longer retained
	 */
	public Uni<LogRecord> get(StreamName stream, long offset) {
		Position at = new Position(stream, offset);
		LogRecord kept = this.records.getIfPresent(at);
		if (kept != null) {
			return Uni.createFrom().item(kept);
		}
		return Uni.createFrom().deferred(() -> this.log.read(stream, offset, 1)).map((slice) -> {
			if (slice.records().isEmpty() || slice.records().get(0).offset() != offset) {
				throw new PlatformException(ErrorCode.OFFSET_EXPIRED,
						"the record at offset " + offset + " of " + stream + " is not retained", null);
			}
			LogRecord found = decode(slice.records().get(0));
			this.records.put(at, found);
			return found;
		});
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

	/**
	 * Position of a record.
	 *
	 * @param stream the stream
	 * @param offset the offset
	 */
	private record Position(StreamName stream, long offset) {
	}

}
