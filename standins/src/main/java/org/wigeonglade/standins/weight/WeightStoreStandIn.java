package org.wigeonglade.standins.weight;

import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.standins.StandInResponse;
import org.wigeonglade.standins.StandInServer;

/**
 * Test double of the platform's weight store, at {@code GET /weights/<model>/<version>}.
 * Loads are served one at a time, each in a fixed time. Thread-safe.
 */
public final class WeightStoreStandIn {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final StandInServer server;

	private final long millisPerLoad;

	private final AtomicLong loads = new AtomicLong();

	private long availableNanos = System.nanoTime();

	private WeightStoreStandIn(StandInServer server, long millisPerLoad) {
		this.server = server;
		this.millisPerLoad = millisPerLoad;
	}

	/**
	 * Starts a weight store on a free port.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @param millisPerLoad the time that one load takes, in milliseconds
	 * @return the started stand-in, never null
	 */
	public static WeightStoreStandIn start(Vertx vertx, long millisPerLoad) {
		return start(vertx, 0, millisPerLoad);
	}

	/**
	 * Starts a weight store on a given port.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @param port the port, 0 for a free one
	 * @param millisPerLoad the time that one load takes, in milliseconds
	 * @return the started stand-in, never null
	 */
	public static WeightStoreStandIn start(Vertx vertx, int port, long millisPerLoad) {
		WeightStoreStandIn store = new WeightStoreStandIn(StandInServer.create(vertx, port), millisPerLoad);
		Router router = Router.router(store.server.getVertx());
		router.get("/weights/:model/:version").handler(store::load);
		store.server.start(router);
		return store;
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
	 * Returns the number of loads begun.
	 * @return the number since the start
	 */
	public long loads() {
		return this.loads.get();
	}

	/**
	 * Stops the stand-in.
	 */
	public void stop() {
		this.server.stop();
	}

	private void load(RoutingContext context) {
		this.loads.incrementAndGet();
		this.server.getVertx()
			.setTimer(reserveMillis(), (id) -> StandInResponse.json(context, new JsonObject().put("loaded", true)));
	}

	private synchronized long reserveMillis() {
		long now = System.nanoTime();
		this.availableNanos = Math.max(now, this.availableNanos) + this.millisPerLoad * NANOS_PER_MILLI;
		return Math.max(1, (this.availableNanos - now) / NANOS_PER_MILLI);
	}

}
