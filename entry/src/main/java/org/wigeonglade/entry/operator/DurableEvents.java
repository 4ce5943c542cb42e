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
 * Reads the durable events of the account from the streams {@code control} and
 * {@code config}, and of a job, item or partition from its partition stream.
 */
final class DurableEvents {

	private static final EventLogger LOGGER = EventLogger.of(DurableEvents.class);

	private static final int PAGE = 500;

	/**
	 * Largest number of records read for one account, which bounds its duration; a day of
	 * the target size has about 10,000 records in both streams.
	 */
	private static final int MAX_RECORDS = 50_000;

	private static final StreamName CONTROL = StreamName.of("control");

	private static final StreamName CONFIG = StreamName.of("config");

	private final LogService log;

	DurableEvents(LogService log) {
		this.log = log;
	}

	Uni<Found> read(AccountQuery query) {
		return readStream(CONTROL, query).onItem()
			.transformToUni((control) -> readStream(CONFIG, query).onItem().transform(control::plus))
			.onItem()
			.transformToUni((found) -> readJobs(query).onItem().transform(found::plus));
	}

	private Uni<Found> readJobs(AccountQuery query) {
		OptionalInt partition = JobEvents.partitionOf(query);
		if (partition.isEmpty()) {
			return Uni.createFrom().item(Found.EMPTY);
		}
		JobEvents events = JobEvents.create(query, partition.getAsInt());
		return recover(readJobs(events, StreamName.of(events.getStream()), 0), events.getStream());
	}

	private Uni<Found> readJobs(JobEvents events, StreamName stream, int count) {
		return this.log.read(stream, events.getNextOffset(), PAGE).onItem().transformToUni((slice) -> {
			events.offer(slice);
			int total = count + Math.max(1, slice.records().size());
			if (events.isCurrent() || total >= MAX_RECORDS) {
				return Uni.createFrom()
					.item(new Found(events.getEvents(), events.isCurrent() && !events.isCut(),
							events.getOldestWallMillis()));
			}
			return readJobs(events, stream, total);
		});
	}

	private Uni<Found> readStream(StreamName stream, AccountQuery query) {
		return recover(readPage(stream, query, 0, 0, Found.EMPTY), stream.value());
	}

	private static Uni<Found> recover(Uni<Found> read, String stream) {
		return read.onFailure(WigeongladeException.class).recoverWithItem((failure) -> {
			LOGGER.log(OperatorEvent.RECORDS_UNREADABLE, stream, ((WigeongladeException) failure).getCode().getCode());
			return Found.UNREAD;
		});
	}

	private Uni<Found> readPage(StreamName stream, AccountQuery query, long from, int count, Found found) {
		return this.log.read(stream, from, PAGE).onItem().transformToUni((slice) -> {
			Found next = found.plus(select(slice, query, from == 0));
			if (slice.records().isEmpty()) {
				return Uni.createFrom().item(next);
			}
			long after = slice.records().getLast().offset() + 1;
			int total = count + slice.records().size();
			if (after >= slice.headOffset()) {
				return Uni.createFrom().item(next);
			}
			return (total >= MAX_RECORDS) ? Uni.createFrom().item(next.plus(Found.UNREAD))
					: readPage(stream, query, after, total, next);
		});
	}

	private static Found select(LogSlice slice, AccountQuery query, boolean first) {
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
		return new Found(events, true, oldest);
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

	// The record states what was asked for; whether the change won is decided by log
	// order,
	// so the sentence of CONFIG_ACCEPTED is told only by the host that verified it.
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
	 * Holds what was found.
	 *
	 * @param events the matching events
	 * @param complete whether the streams were read to their end
	 * @param oldestWallMillis the time of the oldest record, 0 if nothing expired
	 */
	record Found(List<AccountRecord> events, boolean complete, long oldestWallMillis) {

		private static final Found EMPTY = new Found(List.of(), true, 0);

		private static final Found UNREAD = new Found(List.of(), false, 0);

		Found plus(Found other) {
			List<AccountRecord> all = new ArrayList<>(this.events);
			all.addAll(other.events);
			return new Found(all, this.complete && other.complete,
					Math.max(this.oldestWallMillis, other.oldestWallMillis));
		}

	}

}
