package org.wigeonglade.core.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.hash.Hashing;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;

/**
 * Assignment of partitions to hosts by rendezvous hashing. Stateless and deterministic:
 * equal views give equal rankings on all hosts.
 */
public final class OwnershipPolicy {

	/**
	 * Factor on the lease before a claim; clock drift between two hosts is far below the
	 * added 20 percent.
	 */
	private static final double LEASE_MARGIN_FACTOR = 1.2;

	private OwnershipPolicy() {
	}

	/**
	 * Ranks the live hosts that are not stopping as owners of a partition: first those of
	 * the home failure domain of the partition, then by rendezvous hash.
	 * @param partition the partition
	 * @param view the membership view
	 * @return the hosts in order of preference, empty if there is none
	 */
	public static List<HostId> rank(int partition, FleetView view) {
		List<HostMember> live = view.hosts().stream().filter((host) -> !host.stopping()).toList();
		Optional<FailureDomain> home = live.stream()
			.map(HostMember::domain)
			.distinct()
			.max(Comparator.comparingLong((domain) -> hashScore(partition, domain.value())));
		Comparator<HostMember> byHome = Comparator.comparing((host) -> !host.domain().equals(home.orElseThrow()));
		return live.stream()
			.sorted(byHome
				.thenComparing(Comparator.comparingLong((HostMember host) -> hashScore(partition, host.id().value()))
					.reversed())
				.thenComparing(HostMember::id))
			.map(HostMember::id)
			.toList();
	}

	/**
	 * Returns whether a host should claim a partition now.
	 * @param partition the partition
	 * @param self the host that would claim it
	 * @param view the membership view of that host
	 * @param state the state of the partition, replayed to the head of its stream
	 * @param ownerRecordMillis the local monotonic time at which a record of the owner
	 * was last read
	 * @param nowMillis the local monotonic time
	 * @param lease how long an owner may send neither digests nor records
	 * @return true if the host ranks first and the partition has no live owner
	 */
	public static boolean shouldClaim(int partition, HostId self, FleetView view, PartitionState state,
			long ownerRecordMillis, long nowMillis, Duration lease) {
		List<HostId> ranked = rank(partition, view);
		if (ranked.isEmpty() || !ranked.get(0).equals(self)) {
			return false;
		}
		if (state.getOwnerHost().isEmpty() || state.isReleased()) {
			return true;
		}
		if (state.getOwnerHost().equals(self.value())) {
			// The claim is of an earlier incarnation of this host.
			return true;
		}
		long silenceMillis = (long) (lease.toMillis() * LEASE_MARGIN_FACTOR);
		Optional<HostMember> owner = view.hosts()
			.stream()
			.filter((host) -> host.id().value().equals(state.getOwnerHost()))
			.findFirst();
		if (owner.isPresent() && owner.get().incarnation() > state.getOwnerIncarnation()) {
			return true;
		}
		boolean digestIsRecent = owner.isPresent() && nowMillis - owner.get().lastSeenMillis() < silenceMillis;
		return !digestIsRecent && nowMillis - ownerRecordMillis >= silenceMillis;
	}

	private static long hashScore(int partition, String name) {
		return Hashing.murmur3_128(partition).hashString(name, StandardCharsets.UTF_8).asLong();
	}

}
