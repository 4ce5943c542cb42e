package org.wigeonglade.standins.hosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.standins.CallFault;
import org.wigeonglade.standins.FaultScript;
import org.wigeonglade.standins.FaultyAnswer;
import org.wigeonglade.standins.StandInServer;

/**
 * Serves the host list at {@code GET /hosts}. Changes become visible after a lag.
 * Thread-safe.
 */
public final class HostListStandIn {

	private final StandInServer server;

	private final long lagMillis;

	private final FaultScript faults = new FaultScript();

	private final Map<String, ListedHost> visible = new TreeMap<>();

	private HostListStandIn(StandInServer server, long lagMillis) {
		this.server = server;
		this.lagMillis = lagMillis;
	}

	/**
	 * Starts a host list on a free port.
	 * @param vertx the event loops to share, or null to create own ones
	 * @param lagMillis the time until a change is visible, in milliseconds
	 * @return the started stand-in, never null
	 */
	public static HostListStandIn start(Vertx vertx, long lagMillis) {
		return start(vertx, 0, lagMillis);
	}

	/**
	 * Starts a host list on a given port.
	 * @param vertx the event loops to share, or null to create own ones
	 * @param port the port, 0 for a free one
	 * @param lagMillis the time until a change is visible, in milliseconds
	 * @return the started stand-in, never null
	 */
	public static HostListStandIn start(Vertx vertx, int port, long lagMillis) {
		HostListStandIn list = new HostListStandIn(StandInServer.create(vertx, port), lagMillis);
		Router router = Router.router(list.server.getVertx());
		router.get("/hosts").handler((context) -> FaultyAnswer.give(context, list.faults.next("hosts"), list::encode));
		list.server.start(router);
		return list;
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
	 * Adds or replaces an entry after the lag.
	 * @param host the entry, not null
	 */
	public void put(ListedHost host) {
		later(() -> this.visible.put(host.name(), host));
	}

	/**
	 * Adds or replaces an entry without lag.
	 * @param host the entry, not null
	 */
	public synchronized void putNow(ListedHost host) {
		this.visible.put(host.name(), host);
	}

	/**
	 * Replaces all entries after the lag.
	 * @param hosts the entries, not null
	 */
	public void replaceAll(List<ListedHost> hosts) {
		later(() -> {
			this.visible.clear();
			hosts.forEach((host) -> this.visible.put(host.name(), host));
		});
	}

	/**
	 * Marks an entry as leaving after the lag.
	 * @param name the name of the entry, not null
	 */
	public void leave(String name) {
		later(() -> this.visible.computeIfPresent(name, (ignored, h) -> new ListedHost(h.name(), h.role(), h.address(),
				h.failureDomain(), h.region(), h.service(), h.models(), h.incarnation(), true)));
	}

	/**
	 * Removes an entry after the lag.
	 * @param name the name of the entry, not null
	 */
	public void remove(String name) {
		later(() -> this.visible.remove(name));
	}

	/**
	 * Starts or ends an outage.
	 * @param fault how calls fail, or null to end the outage
	 */
	public void outage(CallFault fault) {
		if (fault == null) {
			this.faults.clear();
		}
		else {
			this.faults.failAll(fault);
		}
	}

	/**
	 * Returns the scheduled faults; the name is {@code hosts}.
	 * @return the script, never null
	 */
	public FaultScript faults() {
		return this.faults;
	}

	/**
	 * Stops the stand-in.
	 */
	public void stop() {
		this.server.stop();
	}

	private void later(Runnable change) {
		if (this.lagMillis <= 0) {
			apply(change);
		}
		else {
			this.server.getVertx().setTimer(this.lagMillis, (id) -> apply(change));
		}
	}

	private synchronized void apply(Runnable change) {
		change.run();
	}

	private synchronized JsonObject encode() {
		List<JsonObject> hosts = new ArrayList<>();
		for (ListedHost host : this.visible.values()) {
			hosts.add(new JsonObject().put("name", host.name())
				.put("role", host.role().name().toLowerCase(java.util.Locale.ROOT))
				.put("address", host.address())
				.put("failure_domain", host.failureDomain())
				.put("region", host.region())
				.put("service", host.service())
				.put("models", new JsonArray(host.models()))
				.put("incarnation", host.incarnation())
				.put("leaving", host.leaving()));
		}
		return new JsonObject().put("hosts", new JsonArray(hosts));
	}

}
