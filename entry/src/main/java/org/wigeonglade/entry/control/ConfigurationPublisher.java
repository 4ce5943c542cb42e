package org.wigeonglade.entry.control;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.config.AcceptedChange;
import org.wigeonglade.core.config.ConfigurationBodyParser;
import org.wigeonglade.core.config.ConfigurationChecks;
import org.wigeonglade.core.config.ConfigurationReplay;
import org.wigeonglade.core.error.ConflictException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;

/**
 * Publishes configurations: checks, appends, reads back and judges by the log. A change
 * is accepted only after its record was read back as the first of its version.
 */
final class ConfigurationPublisher {

	private static final EventLogger logger = EventLogger.of(ConfigurationPublisher.class);

	/**
	 * A record whose append had an unknown result is appended again with the same
	 * identity. The first copy that the log holds counts, so this is safe to repeat.
	 */
	private static final int MAX_APPENDS = 3;

	private final ControlContext context;

	private final ConfigurationBodyParser bodies;

	private final ConfigurationRuntime runtime;

	private final StreamAppender appender;

	ConfigurationPublisher(ControlContext context, ConfigurationBodyParser bodies, ConfigurationRuntime runtime,
			StreamAppender appender) {
		this.context = context;
		this.bodies = bodies;
		this.runtime = runtime;
		this.appender = appender;
	}

	Uni<AcceptedChange> publish(ConfigurationDraft draft) {
		return Uni.createFrom()
			.deferred(this.runtime::readToHead)
			.runSubscriptionOn(this.context.loop())
			.onItem()
			.transformToUni((done) -> {
				check(draft);
				return append(toRecord(draft), 1);
			})
			.onFailure(ConflictException.class)
			.invoke((failure) -> recordConflict(draft));
	}

	// Publishes the body of an earlier version as a new version.
	Uni<AcceptedChange> rollback(long baseVersion, long toVersion, String author, String reason) {
		return readBody(toVersion).onItem()
			.transformToUni((body) -> publish(new ConfigurationDraft(baseVersion, author, reason, body, toVersion)));
	}

	// Reads the body of a version from the log.
	Uni<byte[]> readBody(long version) {
		ConfigChange highest = this.runtime.getHighest();
		if (highest.getVersion() == version) {
			return Uni.createFrom().item(highest.getBody().toByteArray());
		}
		Optional<AcceptedChange> found = find(version);
		if (found.isEmpty()) {
			return Uni.createFrom()
				.failure(new InvalidRequestException(ErrorCode.NOT_FOUND, "no configuration version " + version
						+ " is known; allowed: "
						+ this.runtime.getReplay().getHistory().stream().map(AcceptedChange::version).toList()));
		}
		return this.context.onLoop(this.context.log().read(ControlStreams.CONFIG, found.get().offset(), 1))
			.map((slice) -> slice.records()
				.stream()
				.filter((r) -> r.offset() == found.get().offset())
				.findFirst()
				.map((r) -> getBody(r.payload(), version))
				.orElseThrow(() -> new PlatformException(ErrorCode.OFFSET_EXPIRED,
						"the record of configuration version " + version + " is no longer retained", null)));
	}

	private static byte[] getBody(byte[] payload, long version) {
		try {
			return LogRecord.parseFrom(payload)
				.getEntriesList()
				.stream()
				.map(LogEntry::getConfigChange)
				.filter((c) -> c.getVersion() == version)
				.findFirst()
				.orElseThrow(() -> new PlatformException(ErrorCode.RECORD_INVALID,
						"the record does not hold configuration version " + version, null))
				.getBody()
				.toByteArray();
		}
		catch (InvalidProtocolBufferException ex) {
			throw new PlatformException(ErrorCode.RECORD_INVALID, "the record cannot be decoded", ex);
		}
	}

	private void check(ConfigurationDraft draft) {
		ConfigurationReplay replay = this.runtime.getReplay();
		long version = Math.max(replay.getVersion(), this.runtime.getHighest().getVersion());
		if (draft.baseVersion() > version) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"the base version is " + draft.baseVersion() + "; allowed: the current version " + version);
		}
		if (draft.baseVersion() < version) {
			throw conflict(draft.baseVersion() + 1);
		}
		ConfigurationChecks.throwIfAny(ConfigurationChecks.checkChange(read(draft), this.runtime.getCurrent()));
	}

	private FleetConfiguration read(ConfigurationDraft draft) {
		try {
			return this.bodies.parse(draft.body());
		}
		catch (InvalidRequestException ex) {
			throw new InvalidRequestException(ErrorCode.CONFIG_INVALID, ex.getMessage(), ex);
		}
	}

	private LogRecord toRecord(ConfigurationDraft draft) {
		ConfigChange change = ConfigChange.newBuilder()
			.setVersion(draft.baseVersion() + 1)
			.setBaseVersion(draft.baseVersion())
			.setAuthor(draft.author())
			.setReason(draft.reason())
			.setWallTimeMs(this.context.ticker().wallMillis())
			.setBody(ByteString.copyFrom(draft.body()))
			.setRollbackOf(draft.rollbackOf())
			.build();
		return this.appender.next(List.of(LogEntry.newBuilder().setConfigChange(change).build()));
	}

	private Uni<AcceptedChange> append(LogRecord record, int attempt) {
		return this.appender.append(record)
			// An earlier attempt may still take effect.
			.onFailure((failure) -> attempt > 1)
			.transform(ConfigurationPublisher::unknown)
			.onItem()
			.transformToUni((offset) -> judge(record))
			.onFailure(ConfigurationPublisher::isUnknown)
			.recoverWithUni((failure) -> judge(record).onItem().ifNull().failWith(failure))
			.onItem()
			.transformToUni((accepted) -> (accepted != null) ? Uni.createFrom().item(accepted)
					: Uni.createFrom().failure(unknown(null)))
			.onFailure((failure) -> isUnknown(failure) && attempt < MAX_APPENDS)
			.recoverWithUni(() -> append(record, attempt + 1));
	}

	// Reads back and tells whether the record won; null if the log does not hold it yet.
	private Uni<AcceptedChange> judge(LogRecord record) {
		long version = record.getEntries(0).getConfigChange().getVersion();
		return this.runtime.readToHead().onFailure().transform(ConfigurationPublisher::unknown).map((done) -> {
			AcceptedChange winner = find(version).orElse(null);
			if (winner != null && !winner.recordId().equals(ConfigurationReplay.getRecordId(record))) {
				throw conflict(version);
			}
			if (winner != null) {
				logger.log(ControlEvent.CONFIG_ACCEPTED, version, winner.author());
				this.context.record(AccountCode.CONFIG_ACCEPTED, "config", String.valueOf(version),
						Map.of("author", winner.author(), "reason", winner.reason()));
			}
			return winner;
		});
	}

	private Optional<AcceptedChange> find(long version) {
		return this.runtime.getReplay().getHistory().stream().filter((c) -> c.version() == version).findFirst();
	}

	private ConflictException conflict(long version) {
		long current = Math.max(this.runtime.getReplay().getVersion(), this.runtime.getHighest().getVersion());
		String winner = find(version)
			.map((c) -> "version " + version + " was published by " + c.author() + " at "
					+ Instant.ofEpochMilli(c.wallTimeMillis()) + " with the reason '" + c.reason() + "'")
			.orElse("version " + version + " was published by another change");
		return new ConflictException(ErrorCode.CONFIG_CONFLICT,
				winner + "; make the change again from the current version " + current);
	}

	private void recordConflict(ConfigurationDraft draft) {
		String winner = find(draft.baseVersion() + 1).map(AcceptedChange::author).orElse("unknown");
		logger.log(ControlEvent.CONFIG_CONFLICT, draft.baseVersion() + 1, draft.author(), winner);
		this.context.record(AccountCode.CONFIG_CONFLICT, "config", String.valueOf(draft.baseVersion() + 1),
				Map.of("author", draft.author(), "winner", winner));
	}

	private static boolean isUnknown(Throwable failure) {
		return failure instanceof PlatformException platform && platform.isUnknown();
	}

	private static PlatformException unknown(Throwable cause) {
		return new PlatformException(ErrorCode.PLATFORM_UNKNOWN,
				"the change was appended but could not be read back; see the history before trying again", cause);
	}

}
