package org.wigeonglade.adapters.http;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status
 * @param headers the values by lower-case header name, without the id of the exchange
 * @param body the body, empty if there is none
 */
public record HttpReply(int status, Map<String, List<String>> headers, Buffer body) {

	private static final int FIRST_ERROR = 400;

	static HttpReply of(int status, MultiMap headers, Buffer body) {
		Map<String, List<String>> copy = new TreeMap<>();
		headers.forEach(
				(name, value) -> copy.computeIfAbsent(name.toLowerCase(Locale.ROOT), (ignored) -> new ArrayList<>())
					.add(value));
		copy.remove(ResponseFraming.EXCHANGE_ID);
		return new HttpReply(status, Collections.unmodifiableMap(copy), body);
	}

	/**
	 * Returns whether the status reports success.
	 * @return true below 400
	 */
	public boolean isSuccess() {
		return this.status < FIRST_ERROR;
	}

	/**
	 * Returns the code of an error body.
	 * @return the code, empty if the body has none
	 */
	public String errorCode() {
		try {
			JsonObject error = this.body.toJsonObject().getJsonObject("error");
			return (error != null) ? error.getString("code", "") : "";
		}
		catch (DecodeException | ClassCastException ex) {
			return "";
		}
	}

}
