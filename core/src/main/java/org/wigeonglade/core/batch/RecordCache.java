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
 * Cache of decoded log records, bounded by their encoded size. It pays off because
 * neighbouring items share a record. Thread-safe.
 */
public final class RecordCache {

	private final LogService log;

	private final Cache<Position, LogRecord> records;

	/**
	 * Creates a cache.
	 * @param log the log service to read from on a miss
	 * @param maxBytes the maximum encoded size of all cached records together
	 */
	public RecordCache(LogService log, long maxBytes) {
		this.log = log;
		this.records = CacheBuilder.newBuilder()
			.concurrencyLevel(1)
			.maximumWeight(maxBytes)
			.weigher((Position position, LogRecord logRecord) -> logRecord.getSerializedSize())
			.build();
	}

	/**
	 * Returns a record, read from the log on a miss.
	 * @param stream the stream
	 * @param offset the offset of the record
	 * @return the record; fails with {@link PlatformException}, with code
	 * {@code OFFSET_EXPIRED} if it is no longer retained
	 */
	public Uni<LogRecord> get(StreamName stream, long offset) {
		Position position = new Position(stream, offset);
		LogRecord cached = this.records.getIfPresent(position);
		if (cached != null) {
			return Uni.createFrom().item(cached);
		}
		return Uni.createFrom().deferred(() -> this.log.read(stream, offset, 1)).map((slice) -> {
			if (slice.records().isEmpty() || slice.records().get(0).offset() != offset) {
				throw new PlatformException(ErrorCode.OFFSET_EXPIRED,
						"the record at offset " + offset + " of " + stream + " is not retained", null);
			}
			LogRecord logRecord = decode(slice.records().get(0));
			this.records.put(position, logRecord);
			return logRecord;
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
	 * Cache key.
	 *
	 * @param stream the stream
	 * @param offset the offset of the record
	 */
	private record Position(StreamName stream, long offset) {
	}

}
