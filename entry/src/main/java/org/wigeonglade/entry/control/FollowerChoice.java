package org.wigeonglade.entry.control;

import java.util.List;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.Rendezvous;

/**
 * Chooses which hosts of a domain read the log often. The others hear of changes from
 * them, and read rarely in case that no peer can be reached.
 */
final class FollowerChoice {

	/** Up to this size of a domain all hosts read the log often. */
	private static final int SMALL_DOMAIN = 12;

	/** Survives the loss of two of them. */
	private static final int FOLLOWERS = 3;

	/** Slows reads of the other hosts down, to 5 s by default. */
	private static final int SLOW_FACTOR = 10;

	private FollowerChoice() {
	}

	static int getPollFactor(ControlContext context, MemberRuntime members) {
		List<HostMember> domain = members.getView().getHostsOf(context.identity().domain());
		if (domain.size() <= SMALL_DOMAIN) {
			return 1;
		}
		HostId self = context.identity().host();
		boolean chosen = Rendezvous.subset("log-follower", domain, (h) -> h.id().value(), FOLLOWERS)
			.stream()
			.anyMatch((h) -> h.id().equals(self));
		return (chosen) ? 1 : SLOW_FACTOR;
	}

}
