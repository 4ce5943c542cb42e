package org.wigeonglade.core.member;

import java.util.List;
import java.util.Optional;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;

/**
 * Immutable snapshot of the fleet as seen by one host. A new snapshot replaces the old
 * one as a whole (read-copy-update), so that a request works on one consistent view.
 *
 * @param hosts the hosts that are not lost, this host included
 * @param upstreams the known upstreams, leaving ones included
 * @param platformReachable whether the last exchange with the platform succeeded
 */
public record FleetView(List<HostMember> hosts, List<UpstreamMember> upstreams, boolean platformReachable) {

	/** A view without members. */
	public static final FleetView EMPTY = new FleetView(List.of(), List.of(), false);

	/**
	 * Creates the view with copies of the lists.
	 */
	public FleetView {
		hosts = List.copyOf(hosts);
		upstreams = List.copyOf(upstreams);
	}

	/**
	 * Returns the upstreams of a service that accept new work.
	 * @param service the service, not null
	 * @return upstreams that are not leaving, in list order
	 */
	public List<UpstreamMember> getUsable(ServiceName service) {
		return this.upstreams.stream().filter((u) -> u.service().equals(service) && !u.leaving()).toList();
	}

	/**
	 * Returns the live hosts of a failure domain that are not stopping.
	 * @param domain the failure domain, not null
	 * @return the hosts in list order
	 */
	public List<HostMember> getHostsOf(FailureDomain domain) {
		return this.hosts.stream().filter((h) -> h.domain().equals(domain) && !h.stopping()).toList();
	}

	/**
	 * Finds an upstream.
	 * @param id the identifier, not null
	 * @return the upstream, empty if unknown
	 */
	public Optional<UpstreamMember> findUpstream(UpstreamId id) {
		return this.upstreams.stream().filter((u) -> u.id().equals(id)).findFirst();
	}

	/**
	 * Finds a host.
	 * @param id the identifier, not null
	 * @return the host, empty if unknown or lost
	 */
	public Optional<HostMember> findHost(HostId id) {
		return this.hosts.stream().filter((h) -> h.id().equals(id)).findFirst();
	}

}
