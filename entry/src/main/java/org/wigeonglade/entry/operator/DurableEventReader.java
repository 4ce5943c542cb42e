package org.wigeonglade.entry.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountQuery;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.AccountRecord;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.QuarantineAdded;

/**
 * Reader of durable account events from the log: from the streams {@code control} and
 * {@code config}, and for a job, item or partition also from its partition stream.
 */
final class DurableEventReader {

	private static final EventLogger LOGGER = EventLogger.of(DurableEventReader.class);

	private static final int PAGE_SIZE = 500;

	/**
	 * Maximum number of records read from one stream, which limits the duration of a
	 * query. At the target size both streams together grow by about 10,000 records a day.
	 */
	private static final int MAX_RECORDS = 50_000;

	private static final StreamName CONTROL = StreamName.of("control");

	private static final StreamName CONFIG = StreamName.of("config");

	private final LogService log;

	DurableEventReader(LogService log) {
		this.log = log;
	}

	Uni<Result> read(AccountQuery query) {
		return readStream(CONTROL, query).onItem()
			.transformToUni((control) -> readStream(CONFIG, query).onItem().transform(control::combine))
			.onItem()
			.transformToUni((result) -> readPartition(query).onItem().transform(result::combine));
	}

	private Uni<Result> readPartition(AccountQuery query) {
		OptionalInt partition = JobEventCollector.partitionOf(query);
		if (partition.isEmpty()) {
			return Uni.createFrom().item(Result.EMPTY);
		}
		JobEventCollector events = JobEventCollector.create(query, partition.getAsInt());
		return incompleteOnFailure(readPartition(events, StreamName.of(events.getStream()), 0), events.getStream());
	}

	private Uni<Result> readPartition(JobEventCollector events, StreamName stream, int count) {
		return this.log.read(stream, events.getNextOffset(), PAGE_SIZE).onItem().transformToUni((slice) -> {
			events.replay(slice);
			int total = count + Math.max(1, slice.records().size());
			if (events.isCurrent() || total >= MAX_RECORDS) {
				return Uni.createFrom()
					.item(new Result(events.getEvents(), events.isCurrent() && !events.isTruncated(),
							events.getOldestWallMillis()));
			}
			return readPartition(events, stream, total);
		});
	}

	private Uni<Result> readStream(StreamName stream, AccountQuery query) {
		return incompleteOnFailure(readPage(stream, query, 0, 0, Result.EMPTY), stream.value());
	}

	private static Uni<Result> incompleteOnFailure(Uni<Result> read, String stream) {
		return read.onFailure(WigeongladeException.class).recoverWithItem((failure) -> {
			LOGGER.log(OperatorEvent.RECORDS_UNREADABLE, stream, ((WigeongladeException) failure).getCode().getCode());
			return Result.INCOMPLETE;
		});
	}

	private Uni<Result> readPage(StreamName stream, AccountQuery query, long from, int count, Result result) {
		return this.log.read(stream, from, PAGE_SIZE).onItem().transformToUni((slice) -> {
			Result next = result.combine(select(slice, query, from == 0));
			if (slice.records().isEmpty()) {
				return Uni.createFrom().item(next);
			}
			long nextOffset = slice.records().getLast().offset() + 1;
			int total = count + slice.records().size();
			if (nextOffset >= slice.headOffset()) {
				return Uni.createFrom().item(next);
			}
			return (total >= MAX_RECORDS) ? Uni.createFrom().item(next.combine(Result.INCOMPLETE))
					: readPage(stream, query, nextOffset, total, next);
		});
	}

	private static Result select(LogSlice slice, AccountQuery query, boolean first) {
		List<AccountRecord> events = new ArrayList<>();
		long oldest = 0;
		for (StoredRecord stored : slice.records()) {
			LogRecord record;
			try {
				record = LogRecord.parseFrom(stored.payload());
			}
			catch (InvalidProtocolBufferException ex) {
				continue;
			}
			if (first && oldest == 0 && slice.oldestOffset() > 0) {
				oldest = record.getWallTimeMs();
			}
			record.getEntriesList()
				.stream()
				.map((entry) -> toEvent(entry, record, stored.offset()))
				.filter((event) -> event != null && query.matches(event))
				.forEach(events::add);
		}
		return new Result(events, true, oldest);
	}

	private static AccountRecord toEvent(LogEntry entry, LogRecord record, long offset) {
		return switch (entry.getKindCase()) {
			case ACCOUNT_RECORD -> entry.getAccountRecord();
			case QUARANTINE_ADDED -> toEvent(entry.getQuarantineAdded(), record, offset);
			case CONFIG_CHANGE -> toEvent(entry.getConfigChange(), record, offset);
			default -> null;
		};
	}

	private static AccountRecord toEvent(QuarantineAdded added, LogRecord record, long offset) {
		return AccountRecord.newBuilder()
			.setEventId("log:control:" + offset)
			.setCode(AccountCode.QUARANTINED.getNumber())
			.setWallTimeMs(record.getWallTimeMs())
			.setHost(record.getHost())
			.setSubjectKind("fingerprint")
			.setSubjectId(added.getFingerprint())
			.putFigures("reason", added.getReason())
			.putFigures("crashed_upstreams", String.join(" ", added.getCrashedUpstreamsList()))
			.build();
	}

	// A config record is only a proposal: the log order decides whether it is accepted.
	// CONFIG_ACCEPTED is therefore recorded only by the host that verified the outcome.
	private static AccountRecord toEvent(ConfigChange change, LogRecord record, long offset) {
		return AccountRecord.newBuilder()
			.setEventId("log:config:" + offset)
			.setCode(AccountCode.CONFIG_PROPOSED.getNumber())
			.setWallTimeMs(record.getWallTimeMs())
			.setHost(record.getHost())
			.setSubjectKind("config")
			.setSubjectId(Long.toString(change.getVersion()))
			.putFigures("author", change.getAuthor())
			.putFigures("reason", change.getReason())
			.putFigures("base_version", Long.toString(change.getBaseVersion()))
			.build();
	}

	/**
	 * Events read from one or more streams.
	 *
	 * @param events the matching events
	 * @param complete whether the streams were read to their end
	 * @param oldestWallMillis the time of the oldest retained record in milliseconds
	 * since the epoch, 0 if no record has expired
	 */
	record Result(List<AccountRecord> events, boolean complete, long oldestWallMillis) {

		private static final Result EMPTY = new Result(List.of(), true, 0);

		private static final Result INCOMPLETE = new Result(List.of(), false, 0);

		Result combine(Result other) {
			List<AccountRecord> all = new ArrayList<>(this.events);
			all.addAll(other.events);
			return new Result(all, this.complete && other.complete,
					Math.max(this.oldestWallMillis, other.oldestWallMillis));
		}

	}

}
