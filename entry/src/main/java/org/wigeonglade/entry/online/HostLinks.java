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
import org.wigeonglade.schema.generated.log.QuarantineAdded;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.OnlineArrival;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.QuarantineNotice;
import org.wigeonglade.schema.generated.peer.SuspectStep;

/**
 * Finds the hosts that are responsible for a runner or a fingerprint and sends them
 * notices.
 */
final class HostLinks {

	/** Time after which the host that watches a suspect counts as unreachable. */
	private static final Duration SUSPECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The same for a request that was never in flight on a runner that crashed. It adds
	 * to the first-token time while a lost host is still in the view.
	 */
	private static final Duration NEW_TIMEOUT = Duration.ofMillis(100);

	private final HostId self;

	private final RunnerTable runners;

	private final PeerTransport peers;

	HostLinks(HostId self, RunnerTable runners, PeerTransport peers) {
		this.self = self;
		this.runners = runners;
		this.peers = peers;
	}

	HostId getSelf() {
		return this.self;
	}

	// Returns the host that lets one run of a fingerprint be in progress at a time.
	HostId watcherOf(Fingerprint fingerprint) {
		FleetView view = this.runners.getFleet();
		return Rendezvous
			.first(fingerprint.value(), view.hosts().stream().filter((h) -> !h.stopping()).toList(),
					(h) -> h.id().value())
			.map(HostMember::id)
			.orElse(this.self);
	}

	boolean isLive(HostId host) {
		return host.equals(this.self) || this.runners.getFleet().findHost(host).isPresent();
	}

	void sendArrival(HostId to, UpstreamMember runner, int count) {
		send(to, arrival(runner, count));
	}

	void broadcastArrival(FailureDomain domain, UpstreamMember runner, int count) {
		for (HostMember host : this.runners.getFleet().hosts()) {
			if (host.domain().equals(domain)) {
				send(host.id(), arrival(runner, count));
			}
		}
	}

	void broadcast(SuspectStep step, QuarantineAdded body) {
		for (HostMember host : this.runners.getFleet().hosts()) {
			send(host.id(), notice(step, body, 0));
		}
	}

	void sendNotice(HostId to, SuspectStep step, Fingerprint fingerprint) {
		send(to, notice(step, of(fingerprint), 0));
	}

	// Asks the watcher for leave to run a fingerprint.
	void requestRun(HostId watcher, Fingerprint fingerprint, long leaseMillis, boolean ifUnreachable,
			BiConsumer<Boolean, QuarantineAdded> answer) {
		if (this.peers == null) {
			answer.accept(true, of(fingerprint));
			return;
		}
		PeerFrame frame = notice(SuspectStep.SUSPECT_RUN_REQUESTED, of(fingerprint), leaseMillis);
		this.peers.request(watcher, LinkPurpose.CONTROL, frame, ifUnreachable ? NEW_TIMEOUT : SUSPECT_TIMEOUT)
			.subscribe()
			.with((reply) -> answer.accept(reply.getQuarantineNotice().getStep() == SuspectStep.SUSPECT_RUN_GRANTED,
					reply.getQuarantineNotice().getAdded()),
					(failure) -> answer.accept(ifUnreachable, of(fingerprint)));
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
