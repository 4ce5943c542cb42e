package org.wigeonglade.standins.machines;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.standins.StandInServer;

/**
 * Test double of the platform's record store: keyed topics with conditional appends, long
 * polling, and listings of the newest record of each key in pages. Can simulate outages
 * and a history that expires. Thread-safe.
 */
public final class MachineStoreStandIn {

	/** Topic with the operator's configuration. */
	public static final String CONFIGURATION_TOPIC = "keyed.op";

	/** Topic with the registrations of runners. */
	public static final String RUNNER_TOPIC = "keyed.servers";

	/** Topic with the records of the gateway. */
	public static final String GATEWAY_TOPIC = "keyed.wigeonglade";

	/** Interval in milliseconds at which a long poll checks for new records. */
	private static final long POLL_MILLIS = 5;

	/** Maximum number of records of a page of a listing. */
	private static final int PAGE_RECORDS = 500;

	/** Maximum size of the values of a page of a listing in bytes. */
	private static final int PAGE_BYTES = 1 << 20;

	/** Default size in KiB from which a read returns no further record. */
	private static final String READ_KIB = "1024";

	private final StandInServer server;

	private volatile long historyNanos = TimeUnit.DAYS.toNanos(1);

	private long readBytesPerSecond;

	private long readsSentNanos = System.nanoTime();

	private long bytesRead;

	private final Map<String, Topic> topics = new TreeMap<>();

	private volatile Mode mode = Mode.SERVING;

	private MachineStoreStandIn(StandInServer server) {
		this.server = server;
	}

	/**
	 * Starts a store.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @param port the port, 0 for a free one
	 * @return the started stand-in, never null
	 */
	public static MachineStoreStandIn start(Vertx vertx, int port) {
		MachineStoreStandIn store = new MachineStoreStandIn(StandInServer.create(vertx, port));
		Router router = Router.router(store.server.getVertx());
		router.route().handler(BodyHandler.create(false));
		router.route().handler(store::applyMode);
		router.post("/api/log-append").handler(store::append);
		router.get("/api/log-read").handler(store::read);
		router.get("/api/log-newest").handler(store::newest);
		store.server.start(router);
		return store;
	}

	/**
	 * Returns the port.
	 * @return the port of the listener
	 */
	public int getPort() {
		return this.server.getPort();
	}

	/**
	 * Returns the Vert.x instance of the server.
	 * @return the instance, never null
	 */
	public Vertx getVertx() {
		return this.server.getVertx();
	}

	/**
	 * Sets how calls are handled.
	 * @param next the mode, not null
	 */
	public void setMode(Mode next) {
		this.mode = next;
	}

	/**
	 * Limits the time for which records can be read by their offset; listings still
	 * return the newest record of each key.
	 * @param time the time, not null
	 */
	public void setHistory(Duration time) {
		this.historyNanos = time.toNanos();
	}

	/**
	 * Limits the rate of the responses to all reads and listings together.
	 * @param limit the rate in bytes per second, 0 for no limit
	 */
	public synchronized void setReadRate(long limit) {
		this.readBytesPerSecond = limit;
	}

	/**
	 * Returns the size of all responses to reads and listings so far.
	 * @return the size in bytes
	 */
	public synchronized long getBytesRead() {
		return this.bytesRead;
	}

	/**
	 * Appends a record without HTTP, unaffected by the mode.
	 * @param topic the topic, not null
	 * @param key the key, not null
	 * @param value the value, or null to remove the key
	 */
	public synchronized void put(String topic, String key, byte[] value) {
		topic(topic).add(key, value);
	}

	/**
	 * Returns whether a listing of a topic shows a key.
	 * @param topic the topic, not null
	 * @param key the key, not null
	 * @return true if its newest record has a value
	 */
	public synchronized boolean contains(String topic, String key) {
		return topic(topic).newestByKey.containsKey(key);
	}

	/**
	 * Removes the records of a topic; listings still return the newest record of each
	 * key.
	 * @param topic the topic, not null
	 */
	public synchronized void truncate(String topic) {
		topic(topic).truncate();
	}

	/**
	 * Stops the HTTP server of the store.
	 */
	public void stop() {
		this.server.stop();
	}

	private void applyMode(RoutingContext context) {
		switch (this.mode) {
			case SERVING -> context.next();
			case REFUSING -> context.response().setStatusCode(503).end();
			case SILENT -> {
				// No response is sent, as in a network partition.
			}
			case LOSING_ANSWERS -> {
				if (context.request().path().equals("/api/log-append")) {
					appendIfExpected(context);
					context.request().connection().close();
				}
				else {
					context.next();
				}
			}
		}
	}

	private void append(RoutingContext context) {
		OptionalLong offset = appendIfExpected(context);
		if (offset.isPresent()) {
			context.response().end(new JsonObject().put("offset", offset.getAsLong()).toBuffer());
		}
		else {
			context.response().setStatusCode(412).end();
		}
	}

	private synchronized OptionalLong appendIfExpected(RoutingContext context) {
		String expected = context.request().getParam("at");
		long end = topic(context.request().getParam("topic")).end();
		boolean conflict = expected != null && Long.parseLong(expected) != end;
		return conflict ? OptionalLong.empty() : OptionalLong.of(add(context));
	}

	private synchronized long add(RoutingContext context) {
		Topic topic = topic(context.request().getParam("topic"));
		long first = topic.end();
		ByteBuffer body = ByteBuffer.wrap(context.body().buffer().getBytes());
		while (body.hasRemaining()) {
			byte[] record = new byte[body.getInt()];
			body.get(record);
			int keyLength = record[0] & 0xff;
			String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
			byte[] value = java.util.Arrays.copyOfRange(record, 1 + keyLength, record.length);
			topic.add(key, (value.length > 0) ? value : null);
		}
		return first;
	}

	private void read(RoutingContext context) {
		long deadline = System.nanoTime() + Long.parseLong(context.request().getParam("wait-ms", "0")) * 1_000_000;
		pollUntilDeadline(context, Long.parseLong(context.request().getParam("from")), deadline);
	}

	private void pollUntilDeadline(RoutingContext context, long from, long deadline) {
		synchronized (this) {
			Topic topic = topic(context.request().getParam("topic"));
			topic.expire(System.nanoTime() - this.historyNanos);
			if (from < topic.first) {
				context.response().setStatusCode(410).end(new JsonObject().put("first", topic.first).toBuffer());
				return;
			}
			if (from < topic.end() || System.nanoTime() >= deadline) {
				int kib = Integer.parseInt(context.request().getParam("max-kb", READ_KIB));
				respond(context, topic.slice(from, kib * 1024));
				return;
			}
		}
		this.server.getVertx().setTimer(POLL_MILLIS, (t) -> pollUntilDeadline(context, from, deadline));
	}

	private synchronized void newest(RoutingContext context) {
		Topic topic = topic(context.request().getParam("topic"));
		String after = context.request().getParam("after");
		JsonArray items = new JsonArray();
		int bytes = 0;
		boolean truncated = false;
		for (Map.Entry<String, StoredRecord> entry : topic.newestAfter(after).entrySet()) {
			StoredRecord record = entry.getValue();
			bytes += record.value.length;
			truncated = items.size() == PAGE_RECORDS || (bytes > PAGE_BYTES && !items.isEmpty());
			if (truncated) {
				break;
			}
			items.add(new JsonObject().put("key", entry.getKey())
				.put("value", Base64.getEncoder().encodeToString(record.value))
				.put("offset", record.offset));
		}
		respond(context,
				new JsonObject().put("items", items).put("truncated", truncated).put("end", topic.end()).toBuffer());
	}

	// One response after the other takes its time at the rate of the store.
	private synchronized void respond(RoutingContext context, Buffer body) {
		this.bytesRead += body.length();
		long now = System.nanoTime();
		long sendingNanos = (this.readBytesPerSecond > 0)
				? TimeUnit.SECONDS.toNanos(body.length()) / this.readBytesPerSecond : 0;
		this.readsSentNanos = Math.max(now, this.readsSentNanos) + sendingNanos;
		long delayMillis = TimeUnit.NANOSECONDS.toMillis(this.readsSentNanos - now);
		if (delayMillis <= 0) {
			context.response().end(body);
		}
		else {
			this.server.getVertx().setTimer(delayMillis, (timer) -> context.response().end(body));
		}
	}

	private Topic topic(String name) {
		return this.topics.computeIfAbsent(name, (n) -> new Topic());
	}

	/**
	 * How calls are handled.
	 */
	public enum Mode {

		/** Calls are executed. */
		SERVING,

		/** Calls are rejected with status 503 and not executed. */
		REFUSING,

		/** Calls are not executed and get no response. */
		SILENT,

		/** As {@link #SERVING}, but appends end without a response. */
		LOSING_ANSWERS

	}

	private static final class Topic {

		private final List<StoredRecord> records = new ArrayList<>();

		private final NavigableMap<String, StoredRecord> newestByKey = new TreeMap<>();

		private long first;

		private void add(String key, byte[] value) {
			StoredRecord stored = new StoredRecord(end(), key, value, System.nanoTime());
			this.records.add(stored);
			if (value != null) {
				this.newestByKey.put(key, stored);
			}
			else {
				this.newestByKey.remove(key);
			}
		}

		private long end() {
			return this.first + this.records.size();
		}

		private void truncate() {
			this.first = end();
			this.records.clear();
		}

		private void expire(long limitNanos) {
			int expired = 0;
			while (expired < this.records.size() && this.records.get(expired).appendedNanos - limitNanos < 0) {
				expired++;
			}
			this.records.subList(0, expired).clear();
			this.first += expired;
		}

		private Map<String, StoredRecord> newestAfter(String key) {
			return (key != null) ? this.newestByKey.tailMap(key, false) : this.newestByKey;
		}

		private Buffer slice(long from, int maxBytes) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			body.writeBytes(ByteBuffer.allocate(16).putLong(end()).putLong(this.first).array());
			for (StoredRecord record : this.records.subList((int) (from - this.first), this.records.size())) {
				byte[] key = record.key.getBytes(StandardCharsets.UTF_8);
				int valueLength = (record.value != null) ? record.value.length : 0;
				body.writeBytes(
						ByteBuffer.allocate(5).putInt(1 + key.length + valueLength).put((byte) key.length).array());
				body.writeBytes(key);
				if (record.value != null) {
					body.writeBytes(record.value);
				}
				if (body.size() >= maxBytes) {
					break;
				}
			}
			return Buffer.buffer(body.toByteArray());
		}

	}

	private record StoredRecord(long offset, String key, byte[] value, long appendedNanos) {

	}

}
