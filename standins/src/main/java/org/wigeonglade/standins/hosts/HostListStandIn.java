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
import org.wigeonglade.standins.FaultSchedule;
import org.wigeonglade.standins.StandInResponse;
import org.wigeonglade.standins.StandInServer;

/**
 * Test double of the platform's host list, at {@code GET /hosts}. Changes become visible
 * after a lag. Thread-safe.
 */
public final class HostListStandIn {

	private final StandInServer server;

	private final long lagMillis;

	private final FaultSchedule faults = new FaultSchedule();

	private final Map<String, ListedHost> visibleHosts = new TreeMap<>();

	private HostListStandIn(StandInServer server, long lagMillis) {
		this.server = server;
		this.lagMillis = lagMillis;
	}

	/**
	 * Starts a host list on a free port.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @param lagMillis the time until a change is visible, in milliseconds
	 * @return the started stand-in, never null
	 */
	public static HostListStandIn start(Vertx vertx, long lagMillis) {
		return start(vertx, 0, lagMillis);
	}

	/**
	 * Starts a host list on a given port.
	 * @param vertx the Vert.x instance to share, or null to create one
	 * @param port the port, 0 for a free one
	 * @param lagMillis the time until a change is visible, in milliseconds
	 * @return the started stand-in, never null
	 */
	public static HostListStandIn start(Vertx vertx, int port, long lagMillis) {
		HostListStandIn list = new HostListStandIn(StandInServer.create(vertx, port), lagMillis);
		Router router = Router.router(list.server.getVertx());
		router.get("/hosts")
			.handler((context) -> StandInResponse.respond(context, list.faults.next("hosts"), list::encode));
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
		applyAfterLag(() -> this.visibleHosts.put(host.name(), host));
	}

	/**
	 * Adds or replaces an entry immediately.
	 * @param host the entry, not null
	 */
	public synchronized void putNow(ListedHost host) {
		this.visibleHosts.put(host.name(), host);
	}

	/**
	 * Replaces all entries after the lag.
	 * @param hosts the entries, not null
	 */
	public void replaceAll(List<ListedHost> hosts) {
		applyAfterLag(() -> {
			this.visibleHosts.clear();
			hosts.forEach((host) -> this.visibleHosts.put(host.name(), host));
		});
	}

	/**
	 * Marks an entry as leaving after the lag.
	 * @param name the name of the entry, not null
	 */
	public void markLeaving(String name) {
		applyAfterLag(() -> this.visibleHosts.computeIfPresent(name, (ignored, h) -> new ListedHost(h.name(), h.role(),
				h.address(), h.failureDomain(), h.region(), h.service(), h.models(), h.incarnation(), true)));
	}

	/**
	 * Removes an entry after the lag.
	 * @param name the name of the entry, not null
	 */
	public void remove(String name) {
		applyAfterLag(() -> this.visibleHosts.remove(name));
	}

	/**
	 * Starts or ends an outage, in which every call fails.
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
	 * Returns the fault schedule, in which the name of every call is {@code hosts}.
	 * @return the schedule, never null
	 */
	public FaultSchedule faults() {
		return this.faults;
	}

	/**
	 * Stops the stand-in.
	 */
	public void stop() {
		this.server.stop();
	}

	private void applyAfterLag(Runnable change) {
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
		for (ListedHost host : this.visibleHosts.values()) {
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
