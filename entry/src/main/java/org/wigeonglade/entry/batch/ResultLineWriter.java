package org.wigeonglade.entry.batch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import org.wigeonglade.core.batch.ItemRecords;
import org.wigeonglade.core.batch.ItemState;
import org.wigeonglade.core.batch.JobState;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.schema.generated.log.BatchItem;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;

/**
 * Writes the results of a job that are in one log record as JSON Lines.
 */
final class ResultLineWriter {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ResultLineWriter() {
	}

	static byte[] write(JobState job, long offset, LogRecord logRecord) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			for (ItemOutcome outcome : ItemRecords.currentOutcomes(job, offset, logRecord)) {
				writeOutcome(bytes, outcome);
			}
			Set<Integer> written = new HashSet<>();
			for (LogEntry entry : logRecord.getEntriesList()) {
				if (!entry.hasItemChunk() || !entry.getItemChunk().getBatchId().equals(job.getId())) {
					continue;
				}
				for (BatchItem item : entry.getItemChunk().getItemsList()) {
					if (isCancelledAt(job, offset, item) && written.add(item.getIndex())) {
						writeCancelled(bytes, item);
					}
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	private static boolean isCancelledAt(JobState job, long offset, BatchItem item) {
		return item.getIndex() < job.size() && job.getState(item.getIndex()) == ItemState.CANCELLED
				&& job.getOffset(item.getIndex()) == offset;
	}

	private static void writeOutcome(ByteArrayOutputStream bytes, ItemOutcome outcome) throws IOException {
		try (JsonGenerator json = startLine(bytes, outcome.getCustomId())) {
			if (outcome.getStatus() == OutcomeStatus.COMPLETED) {
				json.writeStringField("status", "completed");
				json.writeFieldName("result");
				json.writeRawValue(toSingleLine(outcome.getResult()));
				json.writeNumberField("tokens", outcome.getTokens());
			}
			else {
				boolean unknown = outcome.getStatus() == OutcomeStatus.UNKNOWN;
				json.writeStringField("status", unknown ? "unknown" : "failed");
				writeError(json, outcome.getErrorCode(), outcome.getErrorMessage(),
						outcome.getNotRun() ? ExecutionState.NOT_RUN : ExecutionState.UNKNOWN);
			}
			json.writeNumberField("attempts", outcome.getAttempts());
			json.writeEndObject();
		}
		bytes.write('\n');
	}

	private static void writeCancelled(ByteArrayOutputStream bytes, BatchItem item) throws IOException {
		try (JsonGenerator json = startLine(bytes, item.getCustomId())) {
			json.writeStringField("status", "cancelled");
			writeError(json, ErrorCode.JOB_CANCELLED.getCode(), "the job was cancelled before the item was done",
					ExecutionState.UNKNOWN);
			json.writeEndObject();
		}
		bytes.write('\n');
	}

	private static JsonGenerator startLine(ByteArrayOutputStream bytes, String customId) throws IOException {
		JsonGenerator json = MAPPER.createGenerator(bytes);
		json.writeStartObject();
		json.writeStringField("custom_id", customId);
		return json;
	}

	private static void writeError(JsonGenerator json, String code, String message, ExecutionState executionState)
			throws IOException {
		json.writeObjectFieldStart("error");
		json.writeStringField("code", code);
		json.writeStringField("message", message);
		json.writeStringField("ran", executionState.getText());
		json.writeEndObject();
	}

	// A line break inside the result would end the line, and a result that is not JSON
	// would make the line invalid; both are rewritten.
	private static String toSingleLine(ByteString result) {
		String text = result.toStringUtf8();
		try {
			if (text.indexOf('\n') < 0 && text.indexOf('\r') < 0 && text.startsWith("{") && text.endsWith("}")) {
				return text;
			}
			return text.isBlank() ? "null" : MAPPER.writeValueAsString(MAPPER.readTree(text));
		}
		catch (IOException ex) {
			return MAPPER.getNodeFactory().textNode(text).toString();
		}
	}

}
