package org.wigeonglade.bench.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Reads the bodies of the batch interface as a caller does.
 */
public final class JobView {

	/** Starts the text of an outcome without a result. */
	public static final String FAILED = "!";

	private JobView() {
	}

	/**
	 * Returns whether every item of a job has an outcome.
	 * @param status the body of {@code GET /v1/batches/<id>}, not null
	 * @return true if the job ended
	 */
	public static boolean isEnded(JsonObject status) {
		return switch (status.getString("status", "")) {
			case "completed", "cancelled" -> true;
			default -> false;
		};
	}

	/**
	 * Returns the outcomes in a results body.
	 * @param lines the body as JSON Lines, not null
	 * @return custom id to all its outcomes; the text of a result, or {@value #FAILED}
	 * and the error code
	 */
	public static Map<String, List<String>> outcomes(String lines) {
		Map<String, List<String>> outcomes = new TreeMap<>();
		for (String line : lines.split("\n")) {
			if (line.isBlank()) {
				continue;
			}
			String customId = "";
			String text = FAILED + "malformed";
			try {
				JsonObject outcome = new JsonObject(line);
				customId = outcome.getString("custom_id", "");
				text = text(outcome);
			}
			catch (DecodeException | ClassCastException ex) {
				text = FAILED + "malformed";
			}
			outcomes.computeIfAbsent(customId, (ignored) -> new ArrayList<>()).add(text);
		}
		return outcomes;
	}

	/**
	 * Returns the outcome of one line.
	 * @param outcome the line, not null
	 * @return the text of the result, or {@value #FAILED} and the error code
	 */
	public static String text(JsonObject outcome) {
		JsonObject body = outcome.getJsonObject("result");
		JsonArray choices = (body != null) ? body.getJsonArray("choices") : null;
		if (choices == null || choices.isEmpty()) {
			JsonObject error = outcome.getJsonObject("error");
			return FAILED + ((error != null) ? error.getString("code", "") : "");
		}
		JsonObject choice = choices.getJsonObject(0);
		return (choice.containsKey("message")) ? choice.getJsonObject("message").getString("content")
				: choice.getString("text");
	}

}
