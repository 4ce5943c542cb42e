package org.wigeonglade.bench.batch;

import java.nio.charset.StandardCharsets;

/**
 * Writes job files.
 */
public final class BatchJobs {

	private BatchJobs() {
	}

	/**
	 * Returns a job of short prompts.
	 * @param service the service that every item names
	 * @param items the number of items
	 * @return the body as JSON Lines
	 */
	public static byte[] lines(String service, int items) {
		StringBuilder text = new StringBuilder(items * 120);
		for (int i = 0; i < items; i++) {
			text.append("{\"custom_id\":\"row-")
				.append(i)
				.append("\",\"body\":{\"model\":\"")
				.append(service)
				.append("\",\"prompt\":\"Write the label of row ")
				.append(i)
				.append("\",\"max_tokens\":16}}\n");
		}
		return text.toString().getBytes(StandardCharsets.UTF_8);
	}

}
