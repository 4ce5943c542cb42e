package org.wigeonglade.entry.control;

import java.util.HashSet;
import java.util.Set;

import org.wigeonglade.core.id.HostId;

/**
 * Counts the hosts that answered a starting host while the log cannot be read. An
 * accepted version reaches all reachable hosts within seconds, so half of them know the
 * version that this host had before its restart. Not thread-safe.
 */
final class StartupVotes {

	private final Set<HostId> answered = new HashSet<>();

	void add(HostId host) {
		this.answered.add(host);
	}

	boolean isEnough(int knownHosts) {
		return !this.answered.isEmpty() && 2 * this.answered.size() >= knownHosts;
	}

}
