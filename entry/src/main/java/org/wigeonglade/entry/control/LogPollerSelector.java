package org.wigeonglade.entry.control;

import java.util.List;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.Rendezvous;

/**
 * Selects the hosts of a failure domain that poll the log at the configured interval. The
 * other hosts receive changes from them, and poll at a longer interval in case no peer
 * can be reached.
 */
final class LogPollerSelector {

	/** Up to this number of hosts in the domain all of them are selected. */
	private static final int SMALL_DOMAIN = 12;

	/** Tolerates the loss of two selected hosts. */
	private static final int POLLERS = 3;

	/** Interval factor of the other hosts, which gives 5 s by default. */
	private static final int SLOW_FACTOR = 10;

	private LogPollerSelector() {
	}

	static int getPollIntervalFactor(ControlContext context, MemberRuntime members) {
		List<HostMember> domain = members.getView().getHostsOf(context.identity().domain());
		if (domain.size() <= SMALL_DOMAIN) {
			return 1;
		}
		HostId self = context.identity().host();
		boolean chosen = Rendezvous.subset("log-follower", domain, (h) -> h.id().value(), POLLERS)
			.stream()
			.anyMatch((h) -> h.id().equals(self));
		return (chosen) ? 1 : SLOW_FACTOR;
	}

}
