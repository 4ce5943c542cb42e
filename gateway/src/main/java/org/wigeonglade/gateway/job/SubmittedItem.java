package org.wigeonglade.gateway.job;

import java.util.List;
import java.util.Map;

/**
 * One item of a submitted job.
 *
 * @param id the item, not null
 * @param path the path and query of its request, not null
 * @param headers the headers of its request in order, not null
 * @param body the body of its request, not null
 * @param tokens the tokens of the prompt and the largest output together
 */
public record SubmittedItem(ItemId id, String path, List<Map.Entry<String, String>> headers, byte[] body, long tokens) {

}
