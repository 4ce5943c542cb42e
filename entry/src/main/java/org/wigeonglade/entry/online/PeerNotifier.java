package org.wigeonglade.entry.online;

import java.time.Duration;
import java.util.function.BiConsumer;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.Rendezvous;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.schema.generated.crash.CrashNotice;
import org.wigeonglade.schema.generated.log.QuarantineAdded;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.OnlineArrival;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.QuarantineNotice;
import org.wigeonglade.schema.generated.peer.SuspectStep;

/**
 * Sends notices about runners and fingerprints to other hosts, and determines the host
 * that coordinates a fingerprint.
 */
final class PeerNotifier {

	/** Time after which the coordinator of a suspect counts as unreachable. */
	private static final Duration SUSPECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The same for a fingerprint that was never in flight on a runner that crashed.
	 * Shorter, because it adds to the time to first token while a lost host is still in
	 * the view.
	 */
	private static final Duration UNSUSPECTED_TIMEOUT = Duration.ofMillis(100);

	private final HostId self;

	private final RunnerTable runnerTable;

	private final PeerTransport peers;

	PeerNotifier(HostId self, RunnerTable runnerTable, PeerTransport peers) {
		this.self = self;
		this.runnerTable = runnerTable;
		this.peers = peers;
	}

	HostId getSelf() {
		return this.self;
	}

	// Returns the host that grants the lease to run a fingerprint, one run at a time.
	HostId coordinatorOf(Fingerprint fingerprint) {
		FleetView view = this.runnerTable.getFleet();
		return Rendezvous
			.first(fingerprint.value(), view.hosts().stream().filter((h) -> !h.stopping()).toList(),
					(h) -> h.id().value())
			.map(HostMember::id)
			.orElse(this.self);
	}

	boolean isLive(HostId host) {
		return host.equals(this.self) || this.runnerTable.getFleet().findHost(host).isPresent();
	}

	void sendArrival(HostId to, UpstreamMember runner, int count) {
		send(to, arrival(runner, count));
	}

	void broadcastArrival(FailureDomain domain, UpstreamMember runner, int count) {
		for (HostMember host : this.runnerTable.getFleet().hosts()) {
			if (host.domain().equals(domain)) {
				send(host.id(), arrival(runner, count));
			}
		}
	}

	void broadcast(SuspectStep step, QuarantineAdded body) {
		for (HostMember host : this.runnerTable.getFleet().hosts()) {
			send(host.id(), notice(step, body, 0));
		}
	}

	void broadcastCrash(CrashNotice crash) {
		PeerFrame frame = PeerFrame.newBuilder().setCrashNotice(crash).build();
		this.runnerTable.getFleet().hosts().forEach((host) -> send(host.id(), frame));
	}

	void sendNotice(HostId to, SuspectStep step, Fingerprint fingerprint) {
		send(to, notice(step, of(fingerprint), 0));
	}

	// Requests the lease to run a fingerprint from its coordinator. Without a reply
	// it counts as granted only if grantIfUnreachable is set.
	void requestLease(HostId coordinator, Fingerprint fingerprint, long leaseMillis, boolean grantIfUnreachable,
			BiConsumer<Boolean, QuarantineAdded> callback) {
		if (this.peers == null) {
			callback.accept(true, of(fingerprint));
			return;
		}
		PeerFrame frame = notice(SuspectStep.SUSPECT_RUN_REQUESTED, of(fingerprint), leaseMillis);
		this.peers
			.request(coordinator, LinkPurpose.CONTROL, frame,
					grantIfUnreachable ? UNSUSPECTED_TIMEOUT : SUSPECT_TIMEOUT)
			.subscribe()
			.with((reply) -> callback.accept(reply.getQuarantineNotice().getStep() == SuspectStep.SUSPECT_RUN_GRANTED,
					reply.getQuarantineNotice().getAdded()),
					(failure) -> callback.accept(grantIfUnreachable, of(fingerprint)));
	}

	static PeerFrame notice(SuspectStep step, QuarantineAdded body, long leaseMillis) {
		return PeerFrame.newBuilder()
			.setQuarantineNotice(QuarantineNotice.newBuilder().setAdded(body).setStep(step).setRunLeaseMs(leaseMillis))
			.build();
	}

	private static QuarantineAdded of(Fingerprint fingerprint) {
		return QuarantineAdded.newBuilder().setFingerprint(fingerprint.value()).build();
	}

	private static PeerFrame arrival(UpstreamMember runner, int count) {
		return PeerFrame.newBuilder()
			.setOnlineArrival(OnlineArrival.newBuilder().setUpstream(runner.id().value()).setCount(count))
			.build();
	}

	private void send(HostId to, PeerFrame frame) {
		if (this.peers != null && !to.equals(this.self)) {
			this.peers.send(to, LinkPurpose.CONTROL, frame);
		}
	}

}
