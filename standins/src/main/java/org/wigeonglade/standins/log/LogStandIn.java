package org.wigeonglade.standins.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.standins.CallFault;
import org.wigeonglade.standins.FaultSchedule;
import org.wigeonglade.standins.StandInResponse;
import org.wigeonglade.standins.StandInServer;

/**
 * Test double of the platform's log service, with append-only streams over HTTP:
 * {@code POST /streams/<name>} appends the body, {@code GET /streams/<name>?from=&max=}
 * reads, {@code GET /streams/<name>/range} returns the retained range. Thread-safe.
 */
public final class LogStandIn {

	private static final int MAX_RECORDS = 5000;

	private static final int TOO_MANY_REQUESTS = 429;

	private final StandInServer server;

	private final Ticker ticker;

	private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

	private final FaultSchedule appendFaults = new FaultSchedule();

	private final FaultSchedule readFaults = new FaultSchedule();

	private final AtomicLong appends = new AtomicLong();

	private final AtomicLong appendedBytes = new AtomicLong();

	private final AtomicLong reads = new AtomicLong();

	private final AtomicLong rejected = new AtomicLong();

	private final int retainRecords;

	private final Duration retainFor;

	private final AppendRate rate;

	private volatile long latencyMillis;

	private volatile BiConsumer<String, byte[]> listener = (stream, payload) -> {
	};

	private LogStandIn(Builder builder) {
		this.server = StandInServer.create(builder.vertx, builder.port);
		this.ticker = builder.ticker;
		this.retainRecords = builder.retainRecords;
		this.retainFor = builder.retainFor;
		this.latencyMillis = builder.latencyMillis;
		this.rate = new AppendRate(builder.ticker, builder.appendsPerSecond);
	}

	/**
	 * Returns a builder without limits of rate and retention.
	 * @return a builder, never null
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the port.
	 * @return the port of the listener
	 */
	public int port() {
		return this.server.getPort();
	}

	/**
	 * Returns the base URL.
	 * @return the URL without a trailing slash, never null
	 */
	public String url() {
		return "http://127.0.0.1:" + port();
	}

	/**
	 * Returns the fault schedule of appends, in which the name of a call is its stream.
	 * @return the schedule, never null
	 */
	public FaultSchedule appendFaults() {
		return this.appendFaults;
	}

	/**
	 * Returns the fault schedule of reads, in which the name of a call is its stream.
	 * @return the schedule, never null
	 */
	public FaultSchedule readFaults() {
		return this.readFaults;
	}

	/**
	 * Sets the listener of appends, which allows a test to inject a fault at a given
	 * step.
	 * @param value called with the stream and the record once the record is stored,
	 * before the response is sent; must not block
	 */
	public void listen(BiConsumer<String, byte[]> value) {
		this.listener = value;
	}

	/**
	 * Starts or ends an outage, in which every call fails.
	 * @param fault how calls fail, or null to end the outage
	 */
	public void outage(CallFault fault) {
		if (fault == null) {
			this.appendFaults.clear();
			this.readFaults.clear();
			return;
		}
		this.appendFaults.failAll(fault);
		this.readFaults.failAll(fault);
	}

	/**
	 * Adds latency to every call.
	 * @param millis milliseconds, 0 for none
	 */
	public void latency(long millis) {
		this.latencyMillis = millis;
	}

	/**
	 * Removes the records of all streams that exceed the retention limits.
	 */
	public void trim() {
		long oldestNanos = (this.retainFor != null) ? this.ticker.nanos() - this.retainFor.toNanos() : Long.MIN_VALUE;
		this.streams.values().forEach((stream) -> stream.trim(this.retainRecords, oldestNanos));
	}

	/**
	 * Removes all records of a stream before an offset.
	 * @param stream the stream, not null
	 * @param offset the first offset to keep
	 */
	public void trimBefore(String stream, long offset) {
		Optional.ofNullable(this.streams.get(stream)).ifPresent((s) -> s.trimBefore(offset));
	}

	/**
	 * Reads a stream without HTTP, for checks by tests.
	 * @param stream the stream, not null
	 * @return all retained records
	 */
	public List<StoredRecord> records(String stream) {
		LogStream found = this.streams.get(stream);
		return (found != null) ? found.read(0, Integer.MAX_VALUE).records() : List.of();
	}

	/**
	 * Appends a record without HTTP, faults and rate limit, to set up tests.
	 * @param stream the stream, not null
	 * @param payload the record, not null
	 * @return the offset of the record
	 */
	public long appendDirectly(String stream, byte[] payload) {
		return store(stream, payload);
	}

	/**
	 * Returns the names of all streams.
	 * @return the names in order, never null
	 */
	public List<String> streams() {
		return this.streams.keySet().stream().sorted().toList();
	}

	/**
	 * Returns the number of records appended.
	 * @return the number since the start
	 */
	public long appends() {
		return this.appends.get();
	}

	/**
	 * Returns the number of bytes appended.
	 * @return the number since the start
	 */
	public long appendedBytes() {
		return this.appendedBytes.get();
	}

	/**
	 * Returns the number of reads executed.
	 * @return the number since the start
	 */
	public long reads() {
		return this.reads.get();
	}

	/**
	 * Returns the number of appends rejected by the rate limit.
	 * @return the number since the start
	 */
	public long rejectedByRate() {
		return this.rejected.get();
	}

	/**
	 * Closes the listener and all connections; the records are kept.
	 */
	public void closeNow() {
		this.server.closeNowAndRefuse();
	}

	/**
	 * Listens again after {@link #closeNow()}.
	 */
	public void resume() {
		StandInServer.await(this.server.listen());
	}

	/**
	 * Stops the stand-in.
	 */
	public void stop() {
		this.server.stop();
	}

	private LogStandIn start() {
		Router router = Router.router(this.server.getVertx());
		router.route().handler(BodyHandler.create(false).setBodyLimit(-1));
		router.post("/streams/:name").handler((context) -> delayed(context, this::append));
		router.get("/streams/:name").handler((context) -> delayed(context, this::read));
		router.get("/streams/:name/range").handler((context) -> delayed(context, this::range));
		this.server.start(router);
		return this;
	}

	private void delayed(RoutingContext context, java.util.function.Consumer<RoutingContext> handler) {
		long delay = this.latencyMillis;
		if (delay <= 0) {
			handler.accept(context);
		}
		else {
			this.server.getVertx().setTimer(delay, (id) -> handler.accept(context));
		}
	}

	private void append(RoutingContext context) {
		String name = context.pathParam("name");
		Optional<CallFault> fault = this.appendFaults.next(name);
		if (fault.isEmpty() && !this.rate.tryAcquire()) {
			this.rejected.incrementAndGet();
			StandInResponse.error(context, TOO_MANY_REQUESTS, "rate_limited");
			return;
		}
		Buffer body = context.body().buffer();
		byte[] payload = (body != null) ? body.getBytes() : new byte[0];
		StandInResponse.respond(context, fault, () -> new JsonObject().put("offset", store(name, payload)));
	}

	private long store(String name, byte[] payload) {
		LogStream stream = this.streams.computeIfAbsent(name, (ignored) -> new LogStream());
		long offset = stream.append(payload, this.ticker.nanos());
		this.appends.incrementAndGet();
		this.appendedBytes.addAndGet(payload.length);
		this.listener.accept(name, payload);
		return offset;
	}

	private void read(RoutingContext context) {
		String name = context.pathParam("name");
		long from = number(context, "from", 0);
		int max = (int) Math.min(MAX_RECORDS, number(context, "max", MAX_RECORDS));
		StandInResponse.respond(context, this.readFaults.next(name), () -> {
			this.reads.incrementAndGet();
			return encode(slice(name, from, max));
		});
	}

	private void range(RoutingContext context) {
		String name = context.pathParam("name");
		StandInResponse.respond(context, this.readFaults.next(name), () -> encode(slice(name, Long.MAX_VALUE, 1)));
	}

	private LogSlice slice(String name, long from, int max) {
		LogStream stream = this.streams.get(name);
		return (stream != null) ? stream.read(from, max) : new LogSlice(List.of(), 0, 0);
	}

	private static long number(RoutingContext context, String name, long defaultValue) {
		List<String> values = context.queryParam(name);
		return values.isEmpty() ? defaultValue : Long.parseLong(values.get(0));
	}

	private static JsonObject encode(LogSlice slice) {
		List<JsonObject> records = new ArrayList<>();
		for (StoredRecord record : slice.records()) {
			records.add(new JsonObject().put("offset", record.offset())
				.put("payload", Base64.getEncoder().encodeToString(record.payload())));
		}
		return new JsonObject().put("oldest", slice.oldestOffset())
			.put("head", slice.headOffset())
			.put("records", new JsonArray(records));
	}

	/**
	 * Builder of a log stand-in. Not thread-safe.
	 */
	public static final class Builder {

		private Vertx vertx;

		private int port;

		private Ticker ticker = Ticker.system();

		private int appendsPerSecond;

		private int retainRecords = Integer.MAX_VALUE;

		private Duration retainFor;

		private long latencyMillis;

		private Builder() {
		}

		/**
		 * Shares a Vert.x instance; without this call the stand-in creates one.
		 * @param value the instance, not null
		 * @return this builder
		 */
		public Builder vertx(Vertx value) {
			this.vertx = value;
			return this;
		}

		/**
		 * Sets the port.
		 * @param value the port, 0 for a free one
		 * @return this builder
		 */
		public Builder port(int value) {
			this.port = value;
			return this;
		}

		/**
		 * Sets the clock for the rate limit and the retention.
		 * @param value the clock, not null
		 * @return this builder
		 */
		public Builder ticker(Ticker value) {
			this.ticker = value;
			return this;
		}

		/**
		 * Limits the rate of appends.
		 * @param value appends per second, 0 for no limit
		 * @return this builder
		 */
		public Builder appendsPerSecond(int value) {
			this.appendsPerSecond = value;
			return this;
		}

		/**
		 * Limits the number of records that {@link LogStandIn#trim()} keeps of a stream.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder retainRecords(int value) {
			this.retainRecords = value;
			return this;
		}

		/**
		 * Limits the age of records that {@link LogStandIn#trim()} keeps.
		 * @param value the age, or null for no limit
		 * @return this builder
		 */
		public Builder retainFor(Duration value) {
			this.retainFor = value;
			return this;
		}

		/**
		 * Adds latency to each call.
		 * @param value milliseconds, 0 for none
		 * @return this builder
		 */
		public Builder latencyMillis(long value) {
			this.latencyMillis = value;
			return this;
		}

		/**
		 * Starts the stand-in and blocks until it accepts connections.
		 * @return the started stand-in, never null
		 */
		public LogStandIn start() {
			return new LogStandIn(this).start();
		}

	}

}
