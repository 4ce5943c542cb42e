package org.wigeonglade.gateway.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.core.id.ServiceName;

/**
 * One version of the routes, services and limits. Immutable.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<Route>> routes;

	private final Map<ServiceName, ServiceSpec> services;

	private final CallerLimits limits;

	private RoutingTable(long version, Map<String, List<Route>> routes, Map<ServiceName, ServiceSpec> services,
			CallerLimits limits) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.limits = limits;
	}

	/**
	 * Returns a table.
	 * @param version the version, larger than those before
	 * @param routes the routes, not null
	 * @param services the services, not null
	 * @param limits the limits for callers, not null
	 * @return a table, never null
	 */
	public static RoutingTable of(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
		Map<String, List<Route>> byHost = new HashMap<>();
		for (Route route : routes) {
			byHost.computeIfAbsent(route.getHostName(), (h) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route r) -> r.getPathPrefix().length()).reversed();
		byHost.values().forEach((list) -> list.sort(longestFirst));
		Map<ServiceName, ServiceSpec> byName = new HashMap<>();
		services.forEach((s) -> byName.put(s.name(), s));
		return new RoutingTable(version, byHost, byName, limits);
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long getVersion() {
		return this.version;
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits, never null
	 */
	public CallerLimits getLimits() {
		return this.limits;
	}

	/**
	 * Returns a service.
	 * @param name the name, not null
	 * @return the service, empty if this version does not name it
	 */
	public Optional<ServiceSpec> getService(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the number of routes.
	 * @return the number
	 */
	public int getRouteCount() {
		return this.routes.values().stream().mapToInt(List::size).sum();
	}

	/**
	 * Finds the route with the longest prefix of a path.
	 * @param hostHeader the host of the request with or without a port, may be null
	 * @param path the path without query, not null
	 * @return the route, empty if none matches
	 */
	public Optional<Route> find(String hostHeader, String path) {
		List<Route> candidates = this.routes.getOrDefault(hostName(hostHeader), List.of());
		return candidates.stream().filter((r) -> path.startsWith(r.getPathPrefix())).findFirst();
	}

	private static String hostName(String hostHeader) {
		if (hostHeader == null) {
			return "";
		}
		int colon = hostHeader.indexOf(':');
		String name = (colon >= 0) ? hostHeader.substring(0, colon) : hostHeader;
		return name.strip().toLowerCase(Locale.ROOT);
	}

}
