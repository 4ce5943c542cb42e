package org.wigeonglade.standins.machines;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Test double of the operator of the users' machines: publishes configurations with
 * increasing versions and builds the settings of host processes. Not thread-safe.
 */
public final class MachineOperatorStandIn {

	/** Request timeout of all routes in milliseconds. */
	public static final long TIMEOUT_MILLIS = 5_000;

	private static final int MAX_CONNECTIONS = 64;

	private static final int COMPLETION_TARGET_MILLIS = 18_000;

	private static final int RETENTION_SECONDS = 60;

	private static final int FIRST_PEER_PORT = 20_000;

	private static final int LAST_PEER_PORT = 32_000;

	private static final int PEER_PORT_TRIES = 100;

	/** Ports that were returned, which may not be bound yet. */
	private static final Set<Integer> TAKEN_PORTS = ConcurrentHashMap.newKeySet();

	private final MachineStoreStandIn store;

	private int version;

	private long quotaTokens;

	private int batchAttempts = 2;

	private int streamAttempts = 2;

	private boolean batchRoute = true;

	private long timeoutMillis = TIMEOUT_MILLIS;

	private final Map<String, String> furtherRoutes = new TreeMap<>();

	private final Set<String> keylessRoutes = new HashSet<>();

	private JsonArray workspaces;

	/**
	 * Creates an operator.
	 * @param store the store to publish to, not null
	 */
	public MachineOperatorStandIn(MachineStoreStandIn store) {
		this.store = store;
	}

	/**
	 * Sets the quota of the batch route for the configurations published afterwards.
	 * @param tokens the largest number of pending tokens, 0 for no limit
	 */
	public void setQuotaTokens(long tokens) {
		this.quotaTokens = tokens;
	}

	/**
	 * Sets the batch route of the configurations published afterwards.
	 * @param published whether there is one
	 * @param attempts the number of runs after which an item is given up
	 */
	public void setBatchRoute(boolean published, int attempts) {
		this.batchRoute = published;
		this.batchAttempts = attempts;
	}

	/**
	 * Sets the attempts of the stream routes of the configurations published afterwards.
	 * @param attempts the largest number of runners that get one request
	 */
	public void setStreamAttempts(int attempts) {
		this.streamAttempts = attempts;
	}

	/**
	 * Sets the time-out of the routes of the configurations published afterwards.
	 * @param millis the time-out in milliseconds
	 */
	public void setTimeout(long millis) {
		this.timeoutMillis = millis;
	}

	/**
	 * Adds a route to the configurations published afterwards.
	 * @param name its name and path prefix, not null
	 * @param kind its kind in the format of the configuration, not null
	 */
	public void addRoute(String name, String kind) {
		this.furtherRoutes.put(name, kind);
	}

	/**
	 * Makes a route of the configurations published afterwards public.
	 * @param name its name, not null
	 */
	public void addKeylessRoute(String name) {
		this.keylessRoutes.add(name);
	}

	/**
	 * Adds a workspace to the configurations published afterwards, or replaces it.
	 * @param name its name, not null
	 * @param ratePerSecond its rate limit, 0 for none
	 * @param keys its API keys, not null
	 */
	public void setWorkspace(String name, double ratePerSecond, List<String> keys) {
		JsonArray others = new JsonArray();
		if (this.workspaces != null) {
			this.workspaces.stream()
				.filter((workspace) -> !((JsonObject) workspace).getString("name").equals(name))
				.forEach(others::add);
		}
		this.workspaces = others.add(new JsonObject().put("name", name)
			.put("api-keys", new JsonArray(keys))
			.put("rate-per-s", ratePerSecond)
			.put("burst", ratePerSecond));
	}

	/**
	 * Publishes the default routes with the next version: safe, once, stream,
	 * plain-stream and batch-stream.
	 * @param service the service that handles the routes, not null
	 * @return the version
	 */
	public int publish(String service) {
		return publish(service, COMPLETION_TARGET_MILLIS, RETENTION_SECONDS);
	}

	/**
	 * Publishes the default routes with the next version and the given batch limits.
	 * @param service the service that handles the routes, not null
	 * @param targetMillis the completion target of batch items in milliseconds
	 * @param retentionSeconds the age in seconds at which batch items expire
	 * @return the version
	 */
	public int publish(String service, int targetMillis, int retentionSeconds) {
		JsonArray routes = new JsonArray().add(route("safe", "safe", service, 2))
			.add(route("once", "unsafe", service, 3))
			.add(route("stream", "streaming", service, this.streamAttempts).put("resumable", true))
			.add(route("plain-stream", "streaming", service, this.streamAttempts));
		if (this.batchRoute) {
			routes.add(route("batch-stream", "batch", service, this.batchAttempts)
				.put("completion-target-ms", targetMillis)
				.put("retention-s", retentionSeconds)
				.put("cap", this.quotaTokens));
		}
		this.furtherRoutes.forEach((name, kind) -> routes.add(route(name, kind, service, 2)));
		JsonObject config = new JsonObject().put("version", ++this.version)
			.put("routes", routes)
			.put("backends",
					new JsonArray().add(new JsonObject().put("name", service).put("max-connections", MAX_CONNECTIONS)))
			.put("limits", new JsonObject());
		if (this.workspaces != null) {
			config.put("tenants", this.workspaces);
		}
		this.store.put(MachineStoreStandIn.CONFIGURATION_TOPIC, "config", config.toBuffer().getBytes());
		return this.version;
	}

	/**
	 * Returns the settings of a host process on loopback.
	 * @param name the host name, not null
	 * @param domain the failure domain, not null
	 * @param callerPort the port for callers' requests
	 * @param readinessPort the port of the readiness endpoint
	 * @param peerPort the UDP port for peers
	 * @param storePort the port of the store, or of a proxy in front of it
	 * @return the settings in the platform's format, never null
	 */
	public static JsonObject settings(String name, String domain, int callerPort, int readinessPort, int peerPort,
			int storePort) {
		return new JsonObject().put("node-name", name)
			.put("ip", "127.0.0.1")
			.put("zone", domain)
			.put("listen",
					new JsonObject().put("frontend", "127.0.0.1:" + callerPort)
						.put("ready", "127.0.0.1:" + readinessPort))
			.put("internal-ports", new JsonArray().add(peerPort))
			.put("bounds", new JsonObject().put("grace-s", 8))
			.put("platform", new JsonObject().put("address", "127.0.0.1:" + storePort));
	}

	/**
	 * Returns a port on loopback that is free for UDP and TCP. Processes need theirs in
	 * the settings, before they start. The port is not reserved, but outside the range
	 * from which the ports of outgoing connections are taken, and never returned again.
	 * @return the port
	 * @throws IllegalStateException if no port can be bound
	 */
	public static int findPeerPort() {
		for (int i = 0; i < PEER_PORT_TRIES; i++) {
			int port = ThreadLocalRandom.current().nextInt(FIRST_PEER_PORT, LAST_PEER_PORT);
			if (isFree(port) && TAKEN_PORTS.add(port)) {
				return port;
			}
		}
		throw new IllegalStateException("could not bind a port for UDP and TCP on 127.0.0.1");
	}

	private static boolean isFree(int port) {
		InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
		try (DatagramSocket datagrams = new DatagramSocket(address); ServerSocket connections = new ServerSocket()) {
			connections.bind(address);
			return datagrams.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private JsonObject route(String name, String kind, String service, int attempts) {
		return new JsonObject().put("name", name)
			.put("hostname", "127.0.0.1")
			.put("path-prefix", "/" + name + "/")
			.put("route-type", kind)
			.put("timeout-ms", this.timeoutMillis)
			.put("target-latency-ms", 300)
			.put("priority", 0)
			.put("backend", service)
			.put("max-attempts", attempts)
			.put("public", this.keylessRoutes.contains(name));
	}

}
