import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Messages of HTTP/1.1 on sockets, as clients and runners read and write them.
 */
final class Wire {

	private Wire() {
	}

	/**
	 * A received message.
	 *
	 * @param line the first line
	 * @param headers the headers by their names in lower case
	 * @param body the body, as far as it was received
	 * @param complete whether the body has its whole length
	 */
	record Message(String line, Map<String, String> headers, byte[] body, boolean complete) {

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

		String method() {
			return this.line.split(" ")[0];
		}

		String target() {
			return this.line.split(" ")[1];
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	// Reads the next message; null at the end of the connection. A response without a
	// length ends with its connection.
	static Message read(InputStream in, boolean response) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		String field = readLine(in);
		while (field != null && !field.isEmpty()) {
			int colon = field.indexOf(':');
			headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
			field = readLine(in);
		}
		if (field == null) {
			throw new EOFException("the connection ended within a head");
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean complete = true;
		try {
			if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
				int size = Integer.parseInt(required(readLine(in)).split(";")[0].strip(), 16);
				while (size > 0) {
					copy(in, body, size);
					required(readLine(in));
					size = Integer.parseInt(required(readLine(in)).split(";")[0].strip(), 16);
				}
				while (!required(readLine(in)).isEmpty()) {
					continue;
				}
			}
			else if (headers.containsKey("content-length")) {
				copy(in, body, Integer.parseInt(headers.get("content-length")));
			}
			else if (response) {
				in.transferTo(body);
			}
		}
		catch (IOException ex) {
			complete = false;
		}
		return new Message(line, headers, body.toByteArray(), complete);
	}

	private static String required(String line) throws EOFException {
		if (line == null) {
			throw new EOFException("the connection ended within a body");
		}
		return line;
	}

	private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
		for (int i = 0; i < length; i++) {
			int next = in.read();
			if (next < 0) {
				throw new EOFException("the connection ended within a body");
			}
			out.write(next);
		}
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			line.write(next);
			next = in.read();
		}
		if (next < 0) {
			return null;
		}
		String text = line.toString(StandardCharsets.ISO_8859_1);
		return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
	}

	// Sends a request on a new connection. Returns null if the connection was closed
	// before an answer began, or was not opened.
	static Message call(InetSocketAddress host, String method, String target, Map<String, String> headers, byte[] body,
			int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(host, 1_000);
			socket.setSoTimeout(timeoutMillis);
			StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			request.writeBytes(body);
			socket.getOutputStream().write(request.toByteArray());
			return read(new java.io.BufferedInputStream(socket.getInputStream()), true);
		}
		catch (IOException ex) {
			return null;
		}
	}

}
