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
 * Decides which host should own a partition. Pure: the same view gives the same answer on
 * every host.
 */
public final class OwnershipPolicy {

	/** Clocks of two hosts drift apart by far less than this share of a lease. */
	private static final double DRIFT_MARGIN = 1.2;

	private OwnershipPolicy() {
	}

	/**
	 * Orders the live hosts that are not stopping by their right to own a partition: the
	 * hosts of its home failure domain first, then by rendezvous hash.
	 * @param partition the partition
	 * @param view the fleet
	 * @return the hosts, the first one should own the partition
	 */
	public static List<HostId> rank(int partition, FleetView view) {
		List<HostMember> live = view.hosts().stream().filter((host) -> !host.stopping()).toList();
		Optional<FailureDomain> home = live.stream()
			.map(HostMember::domain)
			.distinct()
			.max(Comparator.comparingLong((domain) -> score(partition, domain.value())));
		Comparator<HostMember> byHome = Comparator.comparing((host) -> !host.domain().equals(home.orElseThrow()));
		return live.stream()
			.sorted(byHome
				.thenComparing(
						Comparator.comparingLong((HostMember host) -> score(partition, host.id().value())).reversed())
				.thenComparing(HostMember::id))
			.map(HostMember::id)
			.toList();
	}

	/**
	 * Returns whether a host should claim a partition now.
	 * @param partition the partition
	 * @param self the host that asks
	 * @param view the fleet as it sees it
	 * @param state the partition, read to the head of its stream
	 * @param ownerRecordMillis the local monotonic time when a record of the owner was
	 * last read
	 * @param nowMillis the local monotonic time
	 * @param lease how long an owner may be silent
	 * @return true if it ranks first and the owner released the partition or is lost
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
			// A claim of an earlier incarnation of this host.
			return true;
		}
		long margin = (long) (lease.toMillis() * DRIFT_MARGIN);
		Optional<HostMember> owner = view.hosts()
			.stream()
			.filter((host) -> host.id().value().equals(state.getOwnerHost()))
			.findFirst();
		if (owner.isPresent() && owner.get().incarnation() > state.getOwnerIncarnation()) {
			return true;
		}
		boolean seenByDigest = owner.isPresent() && nowMillis - owner.get().lastSeenMillis() < margin;
		return !seenByDigest && nowMillis - ownerRecordMillis >= margin;
	}

	private static long score(int partition, String name) {
		return Hashing.murmur3_128(partition).hashString(name, StandardCharsets.UTF_8).asLong();
	}

}
