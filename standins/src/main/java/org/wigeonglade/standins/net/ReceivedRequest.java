package org.wigeonglade.standins.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A request with a body of known length that a stand-in has received.
 */
public final class ReceivedRequest {

	private final String requestLine;

	private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

	private byte[] body = new byte[0];

	private ReceivedRequest(String requestLine) {
		this.requestLine = requestLine;
	}

	/**
	 * Reads the next request on a connection, and no byte behind it.
	 * @param input the input of the connection, not null
	 * @return the request, empty if the connection ends before the end of its headers
	 * @throws IOException if the connection fails
	 */
	public static Optional<ReceivedRequest> read(InputStream input) throws IOException {
		Optional<String> line = readLine(input);
		if (line.isEmpty()) {
			return Optional.empty();
		}
		ReceivedRequest request = new ReceivedRequest(line.get());
		for (line = readLine(input); line.isPresent() && !line.get().isEmpty(); line = readLine(input)) {
			int colon = line.get().indexOf(':');
			request.headers.put(line.get().substring(0, colon).strip(), line.get().substring(colon + 1).strip());
		}
		if (line.isEmpty()) {
			return Optional.empty();
		}
		request.body = input.readNBytes(Integer.parseInt(request.findHeader("Content-Length").orElse("0")));
		return Optional.of(request);
	}

	/**
	 * Returns the value of a header.
	 * @param name its name in any case, not null
	 * @return the value, empty if the request does not have the header
	 */
	public Optional<String> findHeader(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Returns the value of a header as text.
	 * @param name its name in any case, not null
	 * @return the value, empty text if the request does not have the header
	 */
	public String header(String name) {
		return findHeader(name).orElse("");
	}

	/**
	 * Returns the request line.
	 * @return method, path and version, never null
	 */
	public String requestLine() {
		return this.requestLine;
	}

	/**
	 * Returns the method and the path.
	 * @return both with a space in between
	 */
	public String target() {
		return this.requestLine.substring(0, this.requestLine.lastIndexOf(' '));
	}

	/**
	 * Returns the path.
	 * @return the path with the query, if any
	 */
	public String path() {
		return this.requestLine.split(" ")[1];
	}

	/**
	 * Returns the body.
	 * @return the bytes themselves, not a copy
	 */
	public byte[] body() {
		return this.body;
	}

	// Returns empty if the connection ends before the end of the line.
	private static Optional<String> readLine(InputStream input) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				return Optional.empty();
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return Optional.of(line.toString(StandardCharsets.ISO_8859_1));
	}

}
