package org.wigeonglade.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Holds a job file as the client submits it. Immutable.
 */
final class BatchJob {

	private final String lines;

	private final Map<String, JsonObject> bodies;

	private BatchJob(String lines, Map<String, JsonObject> bodies) {
		this.lines = lines;
		this.bodies = bodies;
	}

	static BatchJob read(Path file) {
		try {
			return parse(Files.readString(file));
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, "the job file " + file + " cannot be read",
					ex);
		}
	}

	static BatchJob generate(String model, int items, long seed) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < items; i++) {
			JsonObject body = new JsonObject().put("model", model)
				.put("prompt", "batch " + seed + "/" + i + ": words for row " + i)
				.put("max_tokens", 24);
			text.append(new JsonObject().put("custom_id", "row-" + i).put("body", body).encode()).append('\n');
		}
		return parse(text.toString());
	}

	static BatchJob parse(String text) {
		Map<String, JsonObject> bodies = new LinkedHashMap<>();
		for (String line : text.split("\n")) {
			if (line.isBlank()) {
				continue;
			}
			try {
				JsonObject item = new JsonObject(line);
				bodies.put(item.getString("custom_id", ""), item.getJsonObject("body", new JsonObject()));
			}
			catch (DecodeException | ClassCastException ex) {
				// The host judges malformed lines; the demo only counts items that it can
				// read.
				continue;
			}
		}
		return new BatchJob(text, bodies);
	}

	byte[] bytes() {
		return this.lines.getBytes(StandardCharsets.UTF_8);
	}

	Set<String> customIds() {
		return this.bodies.keySet();
	}

	List<String> models() {
		Set<String> models = new TreeSet<>();
		this.bodies.values().forEach((body) -> {
			if (body.getValue("model") instanceof String model && !model.isEmpty()) {
				models.add(model);
			}
		});
		return List.copyOf(models);
	}

	JsonObject body(String customId) {
		return this.bodies.getOrDefault(customId, new JsonObject());
	}

	Set<String> prompts() {
		Set<String> prompts = new TreeSet<>();
		this.bodies.values().forEach((body) -> prompts.add(prompt(body)));
		return prompts;
	}

	static String prompt(JsonObject body) {
		if (body.getValue("prompt") instanceof String prompt) {
			return prompt;
		}
		if (!(body.getValue("messages") instanceof JsonArray messages)) {
			return "";
		}
		List<String> parts = new ArrayList<>();
		for (Object entry : messages) {
			if (entry instanceof JsonObject message) {
				parts.add(message.getString("role", "") + ": " + message.getString("content", "") + "\n");
			}
		}
		return String.join("", parts);
	}

}
