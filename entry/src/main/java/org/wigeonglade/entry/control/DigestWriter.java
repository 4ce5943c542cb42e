package org.wigeonglade.entry.control;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.DigestComposer;
import org.wigeonglade.core.member.DigestSource;
import org.wigeonglade.core.member.MemberTable;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.HostView;

/**
 * Builds the digests of this host. Most digests omit the static fields, and the load
 * entries are limited to a byte budget so that the traffic of a host does not grow with
 * the number of its peers. Runs on the control loop.
 */
final class DigestWriter {

	/**
	 * Two fifths of the traffic budget of 25 KB/s per host: received digests take as much
	 * again, and the rest is left for probes and notices.
	 */
	private static final double DIGEST_BYTES_PER_SECOND = 10_000;

	/** Every n-th digest includes the static fields, for receivers that missed them. */
	private static final int FULL_DIGEST_PERIOD = 10;

	private final ControlContext context;

	private final PlatformHealth health;

	private final MemberTable table;

	private final List<DigestSource> sources = new CopyOnWriteArrayList<>();

	private final DigestComposer composer = new DigestComposer();

	private LongSupplier configVersion = () -> 0;

	private Set<HostId> lastReceivers = Set.of();

	private long receiversChanged;

	private long digestCount;

	DigestWriter(ControlContext context, PlatformHealth health, MemberTable table) {
		this.context = context;
		this.health = health;
		this.table = table;
	}

	void addSource(DigestSource source) {
		this.sources.add(source);
	}

	void setConfigVersion(LongSupplier source) {
		this.configVersion = source;
	}

	HostView buildSelf(long heartbeat, boolean stopping) {
		return HostView.newBuilder()
			.setHost(this.context.identity().host().value())
			.setIncarnation(this.context.identity().incarnation())
			.setFailureDomain(this.context.identity().domain().value())
			.setRegion(this.context.identity().region().value())
			.setPeerAddress(this.context.peerAddress())
			.setHeartbeat(heartbeat)
			.setStopping(stopping)
			.setConfigVersion(this.configVersion.getAsLong())
			.build();
	}

	Digest build(HostView self, Set<HostId> receivers, long now) {
		if (!receivers.equals(this.lastReceivers)) {
			this.lastReceivers = receivers;
			this.receiversChanged = now;
		}
		boolean full = this.digestCount++ % FULL_DIGEST_PERIOD == 0
				|| now - this.receiversChanged < this.context.options().hostSilent().toMillis();
		Digest.Builder digest = Digest.newBuilder()
			.setSelf((full) ? self : MemberTable.toCompact(self))
			.setConfigVersion(this.configVersion.getAsLong())
			.setPlatformReachable(this.health.isReachable())
			.addAllKnownHosts(this.table.nextRelayed(this.context.options().relayedViews(), full, now))
			.addAllUpstreams(this.table.getLeavingViews(now));
		Digest.Builder load = Digest.newBuilder();
		for (DigestSource source : this.sources) {
			source.contribute(load);
		}
		double seconds = this.context.options().digestInterval().toMillis() / 1000.0;
		int budget = (int) (DIGEST_BYTES_PER_SECOND * seconds / Math.max(1, receivers.size()));
		this.composer.compose(digest, load.build(), budget);
		return digest.build();
	}

}
