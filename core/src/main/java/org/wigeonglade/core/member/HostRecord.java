package org.wigeonglade.core.member;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.schema.generated.peer.HostView;

/**
 * Mutable membership state of one entry host. Not thread-safe.
 */
final class HostRecord {

	private final HostId id;

	private long incarnation;

	private FailureDomain domain;

	private Region region;

	private String address;

	private long heartbeat;

	private boolean stopping;

	private boolean listedLeaving;

	private boolean listed;

	private boolean digestReceived;

	private long configVersion;

	private long lastSeenMillis;

	private long changedMillis;

	HostRecord(ListedHost host, long nowMillis) {
		this.id = HostId.of(host.name());
		this.incarnation = host.incarnation();
		this.domain = FailureDomain.of(host.failureDomain());
		this.region = Region.of(host.region());
		this.address = host.address();
		this.listedLeaving = host.leaving();
		this.lastSeenMillis = nowMillis;
		this.changedMillis = nowMillis;
		this.listed = true;
	}

	HostRecord(HostView view, long nowMillis) {
		this.id = HostId.of(view.getHost());
		startIncarnation(view, nowMillis);
	}

	HostId getId() {
		return this.id;
	}

	long getIncarnation() {
		return this.incarnation;
	}

	FailureDomain getDomain() {
		return this.domain;
	}

	String getAddress() {
		return this.address;
	}

	boolean isListed() {
		return this.listed;
	}

	boolean isDigestReceived() {
		return this.digestReceived;
	}

	long getConfigVersion() {
		return this.configVersion;
	}

	long getLastSeenMillis() {
		return this.lastSeenMillis;
	}

	long getChangedMillis() {
		return this.changedMillis;
	}

	HostMember toMember() {
		return new HostMember(this.id, this.incarnation, this.domain, this.region, this.address,
				this.stopping || this.listedLeaving, this.configVersion, this.lastSeenMillis);
	}

	// A compact view omits the fields that seldom change and only renews the heartbeat of
	// a known host.
	HostView toView(boolean compact) {
		HostView view = HostView.newBuilder()
			.setHost(this.id.value())
			.setIncarnation(this.incarnation)
			.setFailureDomain(this.domain.value())
			.setRegion(this.region.value())
			.setPeerAddress(this.address)
			.setHeartbeat(this.heartbeat)
			.setStopping(this.stopping)
			.setConfigVersion(this.configVersion)
			.build();
		return (compact) ? toCompact(view) : view;
	}

	static HostView toCompact(HostView view) {
		return view.toBuilder().clearFailureDomain().clearRegion().clearPeerAddress().build();
	}

	static boolean isCompact(HostView view) {
		return view.getFailureDomain().isEmpty();
	}

	// The host list lags and numbers incarnations differently, so digests take precedence
	// once one was received. The leaving state applies for as long as the list has it.
	void applyListed(ListedHost host, long nowMillis) {
		this.listed = true;
		if (!this.digestReceived) {
			this.address = host.address();
			if (host.incarnation() > this.incarnation) {
				this.incarnation = host.incarnation();
				this.lastSeenMillis = nowMillis;
			}
		}
		this.listedLeaving = host.leaving();
	}

	void setUnlisted() {
		this.listed = false;
		this.listedLeaving = false;
	}

	// Incarnations come from a wall clock, which may have been set back between two
	// starts. A lower one is therefore accepted once the known one is silent.
	boolean applyView(HostView view, long nowMillis, boolean silent) {
		boolean restarted = !this.digestReceived || view.getIncarnation() > this.incarnation
				|| (silent && view.getIncarnation() < this.incarnation);
		if (restarted) {
			if (!isCompact(view)) {
				startIncarnation(view, nowMillis);
			}
			return !isCompact(view);
		}
		if (view.getIncarnation() < this.incarnation || view.getHeartbeat() <= this.heartbeat) {
			return false;
		}
		boolean changed = view.getConfigVersion() > this.configVersion || (view.getStopping() && !this.stopping)
				|| (!isCompact(view) && !view.getPeerAddress().equals(this.address));
		this.heartbeat = view.getHeartbeat();
		this.stopping |= view.getStopping();
		this.configVersion = Math.max(this.configVersion, view.getConfigVersion());
		this.address = (isCompact(view)) ? this.address : view.getPeerAddress();
		this.lastSeenMillis = nowMillis;
		if (changed) {
			this.changedMillis = nowMillis;
		}
		return true;
	}

	void setStopping(long stoppingIncarnation, long nowMillis) {
		if (stoppingIncarnation >= this.incarnation && !this.stopping) {
			this.stopping = true;
			this.changedMillis = nowMillis;
		}
	}

	void shiftTimes(long millis) {
		this.lastSeenMillis += millis;
	}

	private void startIncarnation(HostView view, long nowMillis) {
		this.incarnation = view.getIncarnation();
		this.domain = FailureDomain.of(view.getFailureDomain());
		this.region = Region.of(view.getRegion());
		this.address = view.getPeerAddress();
		this.heartbeat = view.getHeartbeat();
		this.stopping = view.getStopping();
		this.configVersion = view.getConfigVersion();
		this.lastSeenMillis = nowMillis;
		this.changedMillis = nowMillis;
		this.digestReceived = true;
	}

}
