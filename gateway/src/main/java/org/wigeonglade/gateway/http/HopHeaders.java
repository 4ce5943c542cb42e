package org.wigeonglade.gateway.http;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Removes the headers that concern a single connection.
 */
public final class HopHeaders {

	private static final Set<String> NAMES = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private HopHeaders() {
	}

	/**
	 * Removes the headers of one connection, and those that it names, in place.
	 * @param headers the headers, not null
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
