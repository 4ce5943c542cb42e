package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: keyed and plain topics, appends, reads that wait, and listings of
 * the newest record of each key in pages of at most 500 records or 1 MB. Each machine has
 * a door of its own, so that a disruption can be limited to one machine.
 */
final class Store {

	private static final int PAGE_BYTES = 1 << 20;

	private static final int ANSWER_MILLIS = 4;

	private final Map<String, Topic> topics = new HashMap<>();

	/** The way of one machine to the store. */
	final class Door {

		final Http.Server server;

		/** Time in milliseconds until a call is answered. */
		volatile long answerMillis = ANSWER_MILLIS;

		Door(String ip) throws IOException {
			this.server = new Http.Server(ip, 0, this::handle);
		}

		/** Silences the open connections with a call in progress that contains a text. */
		int silence(String text) {
			int count = 0;
			for (Http.Connection connection : this.server.connections) {
				if (connection.current.contains(text)) {
					connection.silent = true;
					count++;
				}
			}
			return count;
		}

		int openConnections() {
			return this.server.connections.size();
		}

		private void handle(Http.Message request, Http.Connection connection) throws Exception {
			Thread.sleep(this.answerMillis);
			if (connection.silent) {
				return;
			}
			String path = request.uri().split("\\?")[0];
			switch (path) {
				case "/api/log-append" -> append(request, connection);
				case "/api/log-read" -> read(request, connection);
				case "/api/log-newest" -> newest(request, connection);
				default -> connection.respond(404, "", new byte[0]);
			}
		}

	}

	Door door(String ip) throws IOException {
		return new Door(ip);
	}

	synchronized void put(String topic, String key, String value) {
		topic(topic, "0").add(key, (value != null) ? value.getBytes(StandardCharsets.UTF_8) : null, null);
		notifyAll();
	}

	/** Returns the appended records of a keyed topic whose key begins with a prefix. */
	synchronized int count(String topic, String prefix) {
		return (int) topic(topic, "0").records.stream().filter((r) -> r.key != null && r.key.startsWith(prefix)).count();
	}

	synchronized long bytes(String topic) {
		return topic(topic, "0").records.stream().mapToLong((r) -> (r.value != null) ? r.value.length : 0).sum();
	}

	private Topic topic(String name, String part) {
		return this.topics.computeIfAbsent(name + "/" + part, (n) -> new Topic(name.startsWith("keyed.")));
	}

	private void append(Http.Message request, Http.Connection connection) throws IOException {
		long offset;
		long end;
		synchronized (this) {
			Topic topic = topic(request.query("topic"), request.query("part"));
			String at = request.query("at");
			if (at != null && Long.parseLong(at) != topic.records.size()) {
				offset = -1;
			}
			else {
				offset = topic.records.size();
				ByteBuffer body = ByteBuffer.wrap(request.body);
				while (body.hasRemaining()) {
					byte[] record = new byte[body.getInt()];
					body.get(record);
					topic.addRaw(record);
				}
			}
			end = topic.records.size();
			notifyAll();
		}
		byte[] answer = ("{\"offset\":" + offset + ",\"end\":" + end + "}").getBytes();
		connection.respond((offset < 0) ? 412 : 200, "Content-Type: application/json\r\n", answer);
	}

	private void read(Http.Message request, Http.Connection connection) throws Exception {
		String wait = request.query("wait-ms");
		long deadline = System.nanoTime() + ((wait != null) ? Long.parseLong(wait) : 0) * 1_000_000;
		int from = Integer.parseInt(request.query("from"));
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		synchronized (this) {
			Topic topic = topic(request.query("topic"), request.query("part"));
			while (topic.records.size() <= from && System.nanoTime() < deadline) {
				wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
			}
			out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
			for (int i = from; i < topic.records.size(); i++) {
				byte[] raw = topic.records.get(i).raw;
				if (out.size() > 16 && out.size() + raw.length + 4 > PAGE_BYTES) {
					break;
				}
				out.writeBytes(ByteBuffer.allocate(4).putInt(raw.length).array());
				out.writeBytes(raw);
			}
		}
		connection.respond(200, "", out.toByteArray());
	}

	private void newest(Http.Message request, Http.Connection connection) throws IOException {
		List<Object> items = new ArrayList<>();
		boolean truncated = false;
		long end;
		synchronized (this) {
			Topic topic = topic(request.query("topic"), request.query("part"));
			end = topic.records.size();
			String after = request.query("after");
			int bytes = 0;
			for (Rec record : ((after != null) ? topic.newest.tailMap(after, false) : topic.newest).values()) {
				if (items.size() == 500 || (bytes > 0 && bytes + record.value.length > PAGE_BYTES)) {
					truncated = true;
					break;
				}
				bytes += record.value.length;
				Map<String, Object> item = new LinkedHashMap<>();
				item.put("key", record.key);
				item.put("value", Base64.getEncoder().encodeToString(record.value));
				item.put("offset", record.offset);
				items.add(item);
			}
		}
		Map<String, Object> root = new LinkedHashMap<>();
		root.put("items", items);
		root.put("truncated", truncated);
		root.put("end", end);
		connection.respond(200, "Content-Type: application/json\r\n", Json.write(root).getBytes(StandardCharsets.UTF_8));
	}

	private static final class Topic {

		final boolean keyed;

		final List<Rec> records = new ArrayList<>();

		final TreeMap<String, Rec> newest = new TreeMap<>();

		Topic(boolean keyed) {
			this.keyed = keyed;
		}

		void addRaw(byte[] raw) {
			if (!this.keyed) {
				this.records.add(new Rec(this.records.size(), null, null, raw));
				return;
			}
			int length = raw[0] & 0xff;
			String key = new String(raw, 1, length, StandardCharsets.UTF_8);
			byte[] value = Arrays.copyOfRange(raw, 1 + length, raw.length);
			add(key, (value.length > 0) ? value : null, raw);
		}

		void add(String key, byte[] value, byte[] encoded) {
			byte[] raw = encoded;
			if (raw == null) {
				byte[] name = key.getBytes(StandardCharsets.UTF_8);
				raw = new byte[1 + name.length + ((value != null) ? value.length : 0)];
				raw[0] = (byte) name.length;
				System.arraycopy(name, 0, raw, 1, name.length);
				if (value != null) {
					System.arraycopy(value, 0, raw, 1 + name.length, value.length);
				}
			}
			Rec record = new Rec(this.records.size(), key, value, raw);
			this.records.add(record);
			if (value != null) {
				this.newest.put(key, record);
			}
			else {
				this.newest.remove(key);
			}
		}

	}

	private record Rec(long offset, String key, byte[] value, byte[] raw) {

	}

}
