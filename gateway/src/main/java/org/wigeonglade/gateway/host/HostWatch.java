package org.wigeonglade.gateway.host;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.RecordWriter;

/**
 * Watches the other hosts: tells which fell silent, and drops the registrations of those
 * that stay away. Confined to the event loop.
 */
final class HostWatch {

	private static final EventLogger LOG = EventLogger.of(HostWatch.class);

	/** Silence in milliseconds after which the registration of a host is dropped. */
	private static final long FORGET_MILLIS = 120_000;

	private final HostId self;

	private final PeerTable peers;

	private final RecordWriter writer;

	private final Ticker ticker;

	private Set<FailureDomain> silentDomains = Set.of();

	HostWatch(HostId self, PeerTable peers, RecordWriter writer, Ticker ticker) {
		this.self = self;
		this.peers = peers;
		this.writer = writer;
		this.ticker = ticker;
	}

	void expire() {
		long now = this.ticker.millis();
		for (PeerTable.Peer peer : this.peers.expire(now)) {
			LOG.log(GatewayEvent.HOST_LOST, peer.getHost(), peer.getSilence(now));
		}
		logSilentDomains(now);
	}

	void forgetSilent() {
		long now = this.ticker.millis();
		for (PeerTable.Peer peer : List.copyOf(this.peers.getPeers())) {
			long silence = peer.getSilence(now);
			if (!peer.isAlive() && silence > FORGET_MILLIS && isFirst()) {
				LOG.log(GatewayEvent.HOST_FORGOTTEN, peer.getHost(), silence);
				this.writer.add(() -> removal(peer));
			}
		}
	}

	// A host that came back meanwhile keeps its registration.
	private KeyedRecord removal(PeerTable.Peer peer) {
		boolean known = this.peers.find(peer.getHost()).filter((p) -> p == peer && !p.isAlive()).isPresent();
		return known ? KeyedRecord.of(Beliefs.HOST_PREFIX + peer.getHost(), null) : null;
	}

	// One host does what needs doing once; a second one would only repeat it.
	private boolean isFirst() {
		return this.peers.getPeers()
			.stream()
			.filter(PeerTable.Peer::isEligible)
			.noneMatch((p) -> p.getHost().compareTo(this.self) < 0);
	}

	private void logSilentDomains(long now) {
		Set<FailureDomain> silent = new HashSet<>();
		this.peers.getPeers().forEach((peer) -> silent.add(peer.getDomain()));
		silent.removeIf((domain) -> !this.peers.isDomainSilent(domain, now));
		silent.stream()
			.filter((domain) -> !this.silentDomains.contains(domain))
			.forEach((domain) -> LOG.log(GatewayEvent.DOMAIN_SILENT, domain));
		this.silentDomains.stream()
			.filter((domain) -> !silent.contains(domain))
			.forEach((domain) -> LOG.log(GatewayEvent.DOMAIN_HEARD, domain));
		this.silentDomains = silent;
	}

}
