package org.wigeonglade.gateway.job;

import java.util.List;
import java.util.Map;

/**
 * Item of a submitted job: the request to send to a runner.
 *
 * @param id the identifier of the item, not null
 * @param path the path and query of the request, not null
 * @param headers the headers of the request in order, not null
 * @param body the body of the request, not null
 * @param tokens the sum of the prompt tokens and the maximum output tokens
 */
public record SubmittedItem(ItemId id, String path, List<Map.Entry<String, String>> headers, byte[] body, long tokens) {

	private static final byte[] NO_BODY = new byte[0];

	/**
	 * Returns this item without its headers and its body.
	 * @return the item, never null
	 */
	SubmittedItem withoutBody() {
		return new SubmittedItem(this.id, this.path, List.of(), NO_BODY, this.tokens);
	}

}
