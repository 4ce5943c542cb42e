package org.wigeonglade.standins.machines;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The last requests and writes on a connection to a runner, with their times. Writes of
 * several threads do not overlap. Thread-safe.
 */
public final class RunnerConnectionTrace {

	private static final int MAX_ENTRIES = 120;

	/** Number of bytes of a write of which the first and last are kept. */
	private static final int MAX_BYTES = 400;

	private final String runner;

	private final Socket socket;

	private final Deque<String> entries = new ArrayDeque<>();

	private final ReentrantLock writing = new ReentrantLock();

	private volatile boolean sealed;

	RunnerConnectionTrace(String runner, Socket socket) {
		this.runner = runner;
		this.socket = socket;
	}

	/**
	 * Writes bytes to the connection.
	 * @param bytes the bytes, not null
	 * @param description what they are, not null
	 * @throws IOException if the connection fails
	 */
	void write(byte[] bytes, String description) throws IOException {
		this.writing.lock();
		try {
			if (this.sealed) {
				throw new IOException("nothing is written after a body that is cut");
			}
			add("writes " + description + ", " + bytes.length + " bytes: " + abbreviate(bytes));
			this.socket.getOutputStream().write(bytes);
		}
		catch (IOException ex) {
			add("the write failed: " + ex.getMessage());
			throw ex;
		}
		finally {
			this.writing.unlock();
		}
	}

	/**
	 * Refuses all further writes.
	 */
	void seal() {
		this.sealed = true;
	}

	/**
	 * Returns the lock that is held during a write, also of several parts that must not
	 * be separated.
	 * @return the lock, which is reentrant
	 */
	ReentrantLock lock() {
		return this.writing;
	}

	void add(String entry) {
		synchronized (this.entries) {
			if (this.entries.size() == MAX_ENTRIES) {
				this.entries.removeFirst();
			}
			this.entries.add(Instant.now() + " " + entry);
		}
	}

	private static String abbreviate(byte[] bytes) {
		return (bytes.length <= MAX_BYTES) ? escape(bytes) : escape(Arrays.copyOf(bytes, MAX_BYTES - 100)) + " ... "
				+ escape(Arrays.copyOfRange(bytes, bytes.length - 100, bytes.length));
	}

	/**
	 * Returns the bytes as text, with line ends and bytes beyond printable ASCII escaped.
	 * @param bytes the bytes, not null
	 * @return the text on one line
	 */
	public static String escape(byte[] bytes) {
		StringBuilder text = new StringBuilder();
		for (char next : new String(bytes, StandardCharsets.ISO_8859_1).toCharArray()) {
			switch (next) {
				case '\r' -> text.append("\\r");
				case '\n' -> text.append("\\n");
				default -> text.append(
						(next >= ' ' && next <= '~') ? Character.toString(next) : String.format("\\x%02x", (int) next));
			}
		}
		return text.toString();
	}

	@Override
	public String toString() {
		synchronized (this.entries) {
			return "connection of " + this.runner + " from port " + this.socket.getPort() + "\n"
					+ String.join("\n", this.entries);
		}
	}

}
