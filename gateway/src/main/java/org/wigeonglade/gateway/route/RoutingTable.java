package org.wigeonglade.gateway.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.workspace.WorkspaceTable;

/**
 * An immutable version of the routes, the services, the limits on callers and the
 * workspaces.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, Map<String, Route>> routes;

	private final Map<ServiceName, ServiceSpec> services;

	private final CallerLimits limits;

	private final WorkspaceTable workspaces;

	private RoutingTable(long version, Map<String, Map<String, Route>> routes, Map<ServiceName, ServiceSpec> services,
			CallerLimits limits, WorkspaceTable workspaces) {
		this.version = version;
		this.routes = routes;
		this.services = services;
		this.limits = limits;
		this.workspaces = workspaces;
	}

	/**
	 * Returns a table without workspaces.
	 * @param version the version, greater than that of any previous table
	 * @param routes the routes, not null; of several with the same host name and path
	 * prefix, the first one applies
	 * @param services the services, not null
	 * @param limits the limits for callers, not null
	 * @return a table, never null
	 */
	public static RoutingTable of(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
		return of(version, routes, services, limits, WorkspaceTable.NONE);
	}

	/**
	 * Returns a table.
	 * @param version the version, greater than that of any previous table
	 * @param routes the routes, not null; of several with the same host name and path
	 * prefix, the first one applies
	 * @param services the services, not null
	 * @param limits the limits for callers, not null
	 * @param workspaces the workspaces, not null
	 * @return a table, never null
	 */
	public static RoutingTable of(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits,
			WorkspaceTable workspaces) {
		Map<String, Map<String, Route>> byHost = new HashMap<>();
		for (Route route : routes) {
			byHost.computeIfAbsent(route.getHostName(), (h) -> new HashMap<>())
				.putIfAbsent(route.getPathPrefix(), route);
		}
		Map<ServiceName, ServiceSpec> byName = new HashMap<>();
		services.forEach((s) -> byName.put(s.name(), s));
		return new RoutingTable(version, byHost, byName, limits, workspaces);
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version, greater than that of any previous table
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
	 * Returns the workspaces.
	 * @return the workspaces, {@link WorkspaceTable#NONE} if requests carry no keys
	 */
	public WorkspaceTable getWorkspaces() {
		return this.workspaces;
	}

	/**
	 * Returns a service.
	 * @param name the name, not null
	 * @return the service, empty if it is not configured in this version
	 */
	public Optional<ServiceSpec> getService(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the memory of one runner of a service.
	 * @param name the name of the service, not null
	 * @return the memory in tokens, empty if it is not accounted for
	 */
	public OptionalLong findKvCapacity(ServiceName name) {
		ServiceSpec service = this.services.get(name);
		return (service != null) ? service.kvCapacityTokens() : OptionalLong.empty();
	}

	/**
	 * Returns the number of routes.
	 * @return the number
	 */
	public int getRouteCount() {
		return this.routes.values().stream().mapToInt(Map::size).sum();
	}

	/**
	 * Returns the route of a host name with the longest matching path prefix.
	 * @param hostHeader the value of the Host header with or without a port, may be null
	 * @param path the path without the query, not null
	 * @return the route, empty if none matches
	 */
	public Optional<Route> find(String hostHeader, String path) {
		Map<String, Route> prefixes = this.routes.get(hostName(hostHeader));
		if (prefixes == null) {
			return Optional.empty();
		}
		// Prefixes end with a slash, so the number of look-ups is the number of
		// slashes in the path, whatever the number of routes.
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			Route route = prefixes.get(path.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
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
