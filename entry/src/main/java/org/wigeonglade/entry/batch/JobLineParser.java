package org.wigeonglade.entry.batch;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.google.protobuf.ByteString;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Parser for the input lines of a job. The body is copied from the line rather than
 * serialized again, so that the upstream receives exactly the bytes that the client sent.
 */
final class JobLineParser {

	private static final int MAX_CUSTOM_ID_LENGTH = 256;

	private final JsonFactory factory;

	private final int maxItemBytes;

	JobLineParser(int maxItemBytes, int maxDepth) {
		this.maxItemBytes = maxItemBytes;
		// The object of the line adds one nesting level to those of the body.
		this.factory = JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(maxDepth + 1).build())
			.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
			.build();
	}

	JobLine parse(byte[] line, int lineNumber) {
		if (line.length > this.maxItemBytes) {
			throw new InvalidRequestException(ErrorCode.TOO_LARGE, "line " + lineNumber + " has " + line.length
					+ " bytes; at most " + this.maxItemBytes + " are allowed");
		}
		checkUtf8(line, lineNumber);
		try (JsonParser parser = this.factory.createParser(line)) {
			return read(parser, line, lineNumber);
		}
		catch (StreamConstraintsException ex) {
			throw new InvalidRequestException(ErrorCode.TOO_LARGE,
					"line " + lineNumber + " exceeds a limit: " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.LINE_INVALID, "line " + lineNumber + " is not valid JSON", ex);
		}
	}

	private JobLine read(JsonParser parser, byte[] line, int lineNumber) throws IOException {
		require(parser.nextToken() == JsonToken.START_OBJECT, lineNumber, "must be a JSON object");
		String customId = null;
		String model = null;
		ByteString body = null;
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			JsonToken value = parser.nextToken();
			if (name.equals("custom_id")) {
				require(value == JsonToken.VALUE_STRING, lineNumber, "custom_id must be a string");
				customId = parser.getText();
			}
			else if (name.equals("body")) {
				require(value == JsonToken.START_OBJECT, lineNumber, "body must be a JSON object");
				int start = (int) parser.currentTokenLocation().getByteOffset();
				model = readModel(parser, lineNumber);
				body = ByteString.copyFrom(line, start, (int) parser.currentLocation().getByteOffset() - start);
			}
			else {
				parser.skipChildren();
			}
		}
		require(parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null, lineNumber,
				"must hold exactly one JSON object");
		require(customId != null && !customId.isEmpty() && customId.length() <= MAX_CUSTOM_ID_LENGTH, lineNumber,
				"needs a custom_id of 1 to " + MAX_CUSTOM_ID_LENGTH + " characters");
		require(body != null, lineNumber, "needs a body");
		require(model != null, lineNumber, "needs a model in its body");
		return new JobLine(customId, model, body);
	}

	private String readModel(JsonParser parser, int lineNumber) throws IOException {
		String model = null;
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			boolean isModel = parser.currentName().equals("model");
			JsonToken value = parser.nextToken();
			if (isModel) {
				require(value == JsonToken.VALUE_STRING, lineNumber, "model must be a string");
				model = parser.getText();
			}
			else {
				parser.skipChildren();
			}
		}
		return model;
	}

	private static void checkUtf8(byte[] line, int lineNumber) {
		try {
			StandardCharsets.UTF_8.newDecoder()
				.onMalformedInput(CodingErrorAction.REPORT)
				.onUnmappableCharacter(CodingErrorAction.REPORT)
				.decode(ByteBuffer.wrap(line));
		}
		catch (CharacterCodingException ex) {
			throw new InvalidRequestException(ErrorCode.LINE_INVALID, "line " + lineNumber + " is not valid UTF-8", ex);
		}
	}

	private static void require(boolean condition, int lineNumber, String rule) {
		if (!condition) {
			throw new InvalidRequestException(ErrorCode.LINE_INVALID, "line " + lineNumber + " " + rule);
		}
	}

}
