package org.wigeonglade.entry.control;

import java.util.HashSet;
import java.util.Set;

import org.wigeonglade.core.id.HostId;

/**
 * Quorum of peer responses that allows a host to start while the log cannot be read. An
 * accepted version reaches all reachable hosts within seconds, so half of them hold the
 * version that this host had before its restart. Not thread-safe.
 */
final class StartupQuorum {

	private final Set<HostId> respondents = new HashSet<>();

	void add(HostId host) {
		this.respondents.add(host);
	}

	boolean isReached(int knownHosts) {
		return !this.respondents.isEmpty() && 2 * this.respondents.size() >= knownHosts;
	}

}
