import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: a log with keyed topics, conditional appends and long
 * polls. Each call takes 4 ms.
 */
final class Store {

	private static final int CALL_MILLIS = 4;

	private static final int PAGE_RECORDS = 500;

	private final Map<String, Topic> topics = new HashMap<>();

	private final HttpServer server;

	Store() throws IOException {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
		this.server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		this.server.createContext("/api/log-append", (call) -> answer(call, this::append));
		this.server.createContext("/api/log-read", (call) -> answer(call, this::read));
		this.server.createContext("/api/log-newest", (call) -> answer(call, this::newest));
		this.server.start();
	}

	int getPort() {
		return this.server.getAddress().getPort();
	}

	void stop() {
		this.server.stop(0);
	}

	synchronized void put(String topic, String key, String value) {
		topic(topic + "/0").add(recordOf(key, value.getBytes(StandardCharsets.UTF_8)));
		notifyAll();
	}

	synchronized void remove(String topic, String key) {
		topic(topic + "/0").add(recordOf(key, new byte[0]));
		notifyAll();
	}

	synchronized boolean contains(String topic, String key) {
		return topic(topic + "/0").newest.containsKey(key);
	}

	synchronized List<String> keys(String topic) {
		return new ArrayList<>(topic(topic + "/0").newest.keySet());
	}

	private static byte[] recordOf(String key, byte[] value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(1 + name.length + value.length).put((byte) name.length).put(name).put(value).array();
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (n) -> new Topic(n.startsWith("keyed.")));
	}

	private interface Handler {

		Answer handle(Map<String, String> query, byte[] body) throws InterruptedException;

	}

	private record Answer(int status, byte[] body) {

	}

	private static void answer(HttpExchange call, Handler handler) throws IOException {
		Map<String, String> query = new HashMap<>();
		for (String pair : call.getRequestURI().getRawQuery().split("&")) {
			String[] parts = pair.split("=", 2);
			query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
		}
		try {
			Thread.sleep(CALL_MILLIS);
			Answer answer = handler.handle(query, call.getRequestBody().readAllBytes());
			call.sendResponseHeaders(answer.status, (answer.body.length > 0) ? answer.body.length : -1);
			call.getResponseBody().write(answer.body);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			// The caller has closed its connection.
		}
		finally {
			call.close();
		}
	}

	private synchronized Answer append(Map<String, String> query, byte[] body) {
		Topic topic = topic(query.get("topic") + "/" + query.get("part"));
		if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.records.size()) {
			return new Answer(412, json("{\"end\":" + topic.records.size() + "}"));
		}
		long offset = topic.records.size();
		ByteBuffer records = ByteBuffer.wrap(body);
		while (records.hasRemaining()) {
			byte[] record = new byte[records.getInt()];
			records.get(record);
			topic.add(record);
		}
		notifyAll();
		return new Answer(200, json("{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}"));
	}

	private synchronized Answer read(Map<String, String> query, byte[] body) throws InterruptedException {
		Topic topic = topic(query.get("topic") + "/" + query.get("part"));
		int from = Integer.parseInt(query.get("from"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
		while (from >= topic.records.size() && System.nanoTime() < end) {
			wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
		}
		int most = Integer.parseInt(query.getOrDefault("max-kb", "1024")) * 1024;
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
		for (int i = from; i < topic.records.size() && out.size() < most; i++) {
			byte[] record = topic.records.get(i);
			out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
			out.writeBytes(record);
		}
		return new Answer(200, out.toByteArray());
	}

	private synchronized Answer newest(Map<String, String> query, byte[] body) {
		Topic topic = topic(query.get("topic") + "/" + query.get("part"));
		String after = query.get("after");
		StringBuilder items = new StringBuilder();
		int count = 0;
		int bytes = 0;
		boolean truncated = false;
		for (Map.Entry<String, Integer> entry : topic.newest.entrySet()) {
			if (after != null && entry.getKey().compareTo(after) <= 0) {
				continue;
			}
			byte[] record = topic.records.get(entry.getValue());
			if (count == PAGE_RECORDS || (count > 0 && bytes + record.length > 1_000_000)) {
				truncated = true;
				break;
			}
			bytes += record.length;
			int value = 1 + (record[0] & 0xff);
			items.append((count++ > 0) ? "," : "")
				.append("{\"key\":\"")
				.append(entry.getKey())
				.append("\",\"value\":\"")
				.append(Base64.getEncoder()
					.encodeToString(java.util.Arrays.copyOfRange(record, value, record.length)))
				.append("\",\"offset\":")
				.append(entry.getValue())
				.append("}");
		}
		return new Answer(200, json("{\"items\":[" + items + "],\"truncated\":" + truncated + ",\"end\":"
				+ topic.records.size() + "}"));
	}

	private static byte[] json(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static final class Topic {

		private final boolean keyed;

		private final List<byte[]> records = new ArrayList<>();

		private final TreeMap<String, Integer> newest = new TreeMap<>();

		private Topic(boolean keyed) {
			this.keyed = keyed;
		}

		private void add(byte[] record) {
			this.records.add(record);
			if (!this.keyed) {
				return;
			}
			int length = record[0] & 0xff;
			String key = new String(record, 1, length, StandardCharsets.UTF_8);
			if (record.length > 1 + length) {
				this.newest.put(key, this.records.size() - 1);
			}
			else {
				this.newest.remove(key);
			}
		}

	}

}
