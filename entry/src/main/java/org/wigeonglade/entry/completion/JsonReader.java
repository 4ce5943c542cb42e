package org.wigeonglade.entry.completion;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Strict parser for JSON request bodies: limits the nesting and rejects duplicate fields
 * and trailing content. Thread-safe.
 */
public final class JsonReader {

	private final ObjectMapper mapper;

	/**
	 * Creates a reader.
	 * @param maxDepth the largest nesting depth of a body, at least 1
	 */
	public JsonReader(int maxDepth) {
		JsonFactory factory = JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(maxDepth).build())
			.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
			.build();
		this.mapper = new ObjectMapper(factory).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
	}

	/**
	 * Parses a body.
	 * @param body the encoded body, not null
	 * @return a JSON object, never null
	 * @throws InvalidRequestException if the body is not a JSON object within the limits
	 */
	public JsonNode readObject(byte[] body) {
		JsonNode node;
		try {
			node = this.mapper.readTree(body);
		}
		catch (StreamConstraintsException ex) {
			throw new InvalidRequestException(ErrorCode.TOO_LARGE, "JSON passes a limit: " + ex.getOriginalMessage(),
					ex);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, "body is not valid JSON", ex);
		}
		if (node == null || !node.isObject()) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, "body must be a JSON object");
		}
		return node;
	}

}
