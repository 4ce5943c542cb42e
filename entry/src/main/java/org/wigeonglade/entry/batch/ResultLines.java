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
 * Writes the results that a record holds as JSON Lines.
 */
final class ResultLines {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ResultLines() {
	}

	static byte[] write(JobState job, long offset, LogRecord found) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			for (ItemOutcome outcome : ItemRecords.currentOutcomes(job, offset, found)) {
				writeOutcome(bytes, outcome);
			}
			Set<Integer> written = new HashSet<>();
			for (LogEntry entry : found.getEntriesList()) {
				if (!entry.hasItemChunk() || !entry.getItemChunk().getBatchId().equals(job.getId())) {
					continue;
				}
				for (BatchItem item : entry.getItemChunk().getItemsList()) {
					if (isCancelledHere(job, offset, item) && written.add(item.getIndex())) {
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

	private static boolean isCancelledHere(JobState job, long offset, BatchItem item) {
		return item.getIndex() < job.size() && job.getState(item.getIndex()) == ItemState.CANCELLED
				&& job.getOffset(item.getIndex()) == offset;
	}

	private static void writeOutcome(ByteArrayOutputStream bytes, ItemOutcome outcome) throws IOException {
		try (JsonGenerator json = open(bytes, outcome.getCustomId())) {
			if (outcome.getStatus() == OutcomeStatus.COMPLETED) {
				json.writeStringField("status", "completed");
				json.writeFieldName("result");
				json.writeRawValue(oneLine(outcome.getResult()));
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
		try (JsonGenerator json = open(bytes, item.getCustomId())) {
			json.writeStringField("status", "cancelled");
			writeError(json, ErrorCode.JOB_CANCELLED.getCode(), "the job was cancelled before the item was done",
					ExecutionState.UNKNOWN);
			json.writeEndObject();
		}
		bytes.write('\n');
	}

	private static JsonGenerator open(ByteArrayOutputStream bytes, String customId) throws IOException {
		JsonGenerator json = MAPPER.createGenerator(bytes);
		json.writeStartObject();
		json.writeStringField("custom_id", customId);
		return json;
	}

	private static void writeError(JsonGenerator json, String code, String message, ExecutionState ran)
			throws IOException {
		json.writeObjectFieldStart("error");
		json.writeStringField("code", code);
		json.writeStringField("message", message);
		json.writeStringField("ran", ran.getText());
		json.writeEndObject();
	}

	// A line break inside a result would end its line, and a result that is no JSON would
	// make the line unreadable.
	private static String oneLine(ByteString result) {
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
