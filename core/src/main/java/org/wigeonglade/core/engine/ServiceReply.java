package org.wigeonglade.core.engine;

import java.util.List;
import java.util.Map;

/**
 * Complete response of a plain service.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body, not copied
 */
public record ServiceReply(int status, Map<String, List<String>> headers, byte[] body) {
}
