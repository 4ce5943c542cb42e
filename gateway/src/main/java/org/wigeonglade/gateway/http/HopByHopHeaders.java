package org.wigeonglade.gateway.http;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes hop-by-hop headers, which concern a single connection and must not be
 * forwarded.
 */
public final class HopByHopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HopByHopHeaders() {
	}

	/**
	 * Removes the hop-by-hop headers, including those that the Connection header lists.
	 * @param headers the headers, modified in place
	 */
	public static void strip(HttpHeaders headers) {
		Set<String> named = new TreeSet<>();
		for (String value : headers.getAll("Connection")) {
			for (String name : value.split(",")) {
				named.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		named.addAll(NAMES);
		named.stream().filter((n) -> !n.isEmpty()).forEach(headers::remove);
	}

}
