package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, so that a stand-in controls each byte that it sends. */
final class Http {

	private Http() {
	}

	/** Head and body of a message. */
	static final class Message {

		String startLine = "";

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		boolean complete;

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String method() {
			return this.startLine.split(" ")[0];
		}

		String uri() {
			return this.startLine.split(" ")[1];
		}

		int status() {
			return this.startLine.startsWith("HTTP/") ? Integer.parseInt(this.startLine.split(" ")[1]) : 0;
		}

		String query(String name) {
			int at = uri().indexOf('?');
			if (at >= 0) {
				for (String pair : uri().substring(at + 1).split("&")) {
					if (pair.startsWith(name + "=")) {
						return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
					}
				}
			}
			return null;
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Handles the requests of one connection, one after the other. */
	interface Handler {

		void handle(Message request, Connection connection) throws Exception;

	}

	/** An accepted connection. */
	static final class Connection {

		final Socket socket;

		final InputStream in;

		final OutputStream out;

		volatile boolean silent;

		volatile String current = "";

		/** Bytes that are sent before the next response. */
		volatile byte[] lateCopy;

		Connection(Socket socket) throws IOException {
			this.socket = socket;
			this.in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
			this.out = socket.getOutputStream();
		}

		void send(byte[] bytes) throws IOException {
			if (!this.silent) {
				this.out.write(bytes);
				this.out.flush();
			}
		}

		void respond(int status, String headers, byte[] body) throws IOException {
			send(encode(status, headers, body));
		}

		void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// Nothing is left to close.
			}
		}

	}

	/** A server on a loopback port. */
	static final class Server {

		final ServerSocket listener;

		final Set<Connection> connections = ConcurrentHashMap.newKeySet();

		private volatile Handler handler;

		Server(String ip, int port, Handler handler) throws IOException {
			this.handler = handler;
			this.listener = new ServerSocket();
			this.listener.setReuseAddress(true);
			this.listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
			Thread.ofVirtual().start(this::accept);
		}

		int port() {
			return this.listener.getLocalPort();
		}

		private void accept() {
			while (!this.listener.isClosed()) {
				try {
					Socket socket = this.listener.accept();
					socket.setTcpNoDelay(true);
					Thread.ofVirtual().start(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			Connection connection = null;
			try {
				connection = new Connection(socket);
				this.connections.add(connection);
				while (true) {
					Message request = read(connection.in, false);
					connection.current = request.startLine;
					this.handler.handle(request, connection);
					connection.current = "";
				}
			}
			catch (Exception ex) {
				// The peer has closed the connection, or a test has.
			}
			finally {
				if (connection != null) {
					this.connections.remove(connection);
					connection.close();
				}
			}
		}

	}

	static byte[] encode(int status, String headers, byte[] body) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(("HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.writeBytes(body);
		return out.toByteArray();
	}

	/** Reads a message; an answer that breaks off is returned with complete = false. */
	static Message read(InputStream in, boolean response) throws IOException {
		Message message = new Message();
		message.startLine = line(in);
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
				while (true) {
					int size = Integer.parseInt(line(in).strip(), 16);
					copy(in, body, size);
					line(in);
					if (size == 0) {
						break;
					}
				}
			}
			else if (!message.header("Content-Length").isEmpty()) {
				copy(in, body, Integer.parseInt(message.header("Content-Length")));
			}
			else if (response) {
				in.transferTo(body);
			}
			message.complete = true;
		}
		catch (IOException ex) {
			if (!response) {
				throw ex;
			}
		}
		message.body = body.toByteArray();
		return message;
	}

	private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
		byte[] buffer = new byte[1 << 16];
		for (int left = size; left > 0;) {
			int count = in.read(buffer, 0, Math.min(left, buffer.length));
			if (count < 0) {
				throw new EOFException();
			}
			out.write(buffer, 0, count);
			left -= count;
		}
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		while (true) {
			int c = in.read();
			if (c < 0) {
				throw new EOFException();
			}
			if (c == '\n') {
				return line.toString();
			}
			if (c != '\r') {
				line.append((char) c);
			}
		}
	}

	/** Sends one request on a new connection; null if there is no response head. */
	static Message call(InetSocketAddress to, String method, String uri, Map<String, String> headers, byte[] body,
			int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(to, 1_000);
			socket.setSoTimeout(timeoutMillis);
			StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (body.length > 0 || method.equals("POST")) {
				head.append("Content-Length: ").append(body.length).append("\r\n");
			}
			head.append("\r\n");
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			out.writeBytes(body);
			socket.getOutputStream().write(out.toByteArray());
			socket.getOutputStream().flush();
			return read(new BufferedInputStream(socket.getInputStream()), true);
		}
		catch (IOException ex) {
			return null;
		}
	}

}
