package org.wigeonglade.bench.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.standins.log.LogStandIn;

/**
 * Writes who appended what to the log, for the analysis of a failed cell.
 */
final class LogDump {

	private LogDump() {
	}

	static void write(LogStandIn log, Path file) {
		StringBuilder text = new StringBuilder();
		for (String stream : log.streams()) {
			for (StoredRecord record : log.records(stream)) {
				text.append(stream)
					.append(' ')
					.append(record.offset())
					.append(' ')
					.append(describe(record))
					.append('\n');
			}
		}
		try {
			Files.writeString(file, text);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, file + " cannot be written", ex);
		}
	}

	private static String describe(StoredRecord stored) {
		try {
			LogRecord record = LogRecord.parseFrom(stored.payload());
			return record.getHost() + "/" + record.getIncarnation() + "/" + record.getSequence() + " at "
					+ record.getWallTimeMs() + ": "
					+ record.getEntriesList().stream().map(LogDump::describe).collect(Collectors.joining(", "));
		}
		catch (InvalidProtocolBufferException ex) {
			return "unreadable, " + stored.payload().length + " bytes";
		}
	}

	private static String describe(LogEntry entry) {
		return switch (entry.getKindCase()) {
			case PARTITION_CLAIM ->
				"claim of term " + entry.getPartitionClaim().getTerm() + " by " + entry.getPartitionClaim().getHost();
			case PARTITION_RELEASE -> "release of term " + entry.getPartitionRelease().getTerm();
			case JOB_ACCEPTED -> "accepted " + entry.getJobAccepted().getBatchId();
			case JOB_CANCELLED -> "cancelled " + entry.getJobCancelled().getBatchId();
			case ITEM_OUTCOMES -> entry.getItemOutcomes().getOutcomesCount() + " outcomes of "
					+ entry.getItemOutcomes().getBatchId() + " under term " + entry.getItemOutcomes().getTerm();
			default -> entry.getKindCase().name().toLowerCase(java.util.Locale.ROOT);
		};
	}

}
