package org.wigeonglade.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.DigestSource;
import org.wigeonglade.core.member.FleetLoad;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.MemberTable;
import org.wigeonglade.core.member.MemberTiming;
import org.wigeonglade.core.member.ReceivedLoad;
import org.wigeonglade.core.peer.PeerHandler;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.HostView;
import org.wigeonglade.schema.generated.peer.LeavingNotice;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.StopNotice;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Membership service of one host: polls the host list, exchanges digests and notices with
 * other hosts, and publishes snapshots of the fleet. All state changes run on the control
 * loop; snapshots can be read from any thread.
 */
final class MemberRuntime {

	private static final EventLogger logger = EventLogger.of(MemberRuntime.class);

	private static final String HOST_LIST = "host list";

	private static final long MAX_PUBLISH_MILLIS = 250;

	private static final int PUBLISHES_PER_SILENCE = 12;

	private final ControlContext context;

	private final PlatformHealth health;

	private final MemberTable table;

	private final List<Consumer<Digest>> digestListeners = new CopyOnWriteArrayList<>();

	private final Map<HostId, ReceivedLoad> loads = new HashMap<>();

	private final DigestWriter writer;

	private final Map<HostId, String> registeredAddresses = new HashMap<>();

	private final Set<HostId> identifiedSeeds = new HashSet<>();

	private long heartbeat;

	private boolean stopping;

	private boolean hostListRead;

	private long hostListPollStarted = Long.MIN_VALUE;

	private boolean hostListPolling;

	private long nextHostListPoll;

	private long nextDigest;

	private long nextPublish;

	private long lastTick = Long.MIN_VALUE;

	private volatile FleetView view = FleetView.EMPTY;

	private volatile FleetLoad load = FleetLoad.EMPTY;

	private volatile List<HostMember> lost = List.of();

	MemberRuntime(ControlContext context, PlatformHealth health) {
		this.context = context;
		this.health = health;
		this.table = MemberTable.of(context.identity().host(), context.identity().domain(),
				new MemberTiming(context.options().hostSilent().toMillis(), context.options().meshLimit()));
		this.writer = new DigestWriter(context, health, this.table);
		context.transport().handle(PeerFrame.BodyCase.DIGEST, onLoop(this::onDigest));
		context.transport().handle(PeerFrame.BodyCase.LEAVING_NOTICE, onLoop(this::onLeavingNotice));
		context.transport().handle(PeerFrame.BodyCase.STOP_NOTICE, onLoop(this::onStopNotice));
		applySelf(context.now());
		publish(context.now());
	}

	FleetView getView() {
		return this.view;
	}

	FleetLoad getLoad() {
		return this.load;
	}

	List<HostMember> getLost() {
		return this.lost;
	}

	Map<HostId, String> getAddresses() {
		return this.table.getAddresses();
	}

	Set<HostId> getIdentifiedSeeds() {
		return Set.copyOf(this.identifiedSeeds);
	}

	void addSource(DigestSource source) {
		this.writer.addSource(source);
	}

	void addDigestListener(Consumer<Digest> listener) {
		this.digestListeners.add(listener);
	}

	void setConfigVersion(LongSupplier source) {
		this.writer.setConfigVersion(source);
	}

	void tick() {
		long now = this.context.now();
		applyPause(now);
		if (now >= this.nextHostListPoll) {
			this.nextHostListPoll = now + this.context.options().hostListPoll().toMillis();
			pollHostList(now);
		}
		if (now >= this.nextDigest) {
			this.nextDigest = now + this.context.options().digestInterval().toMillis();
			if (!this.hostListRead) {
				identifySeeds();
			}
			sendDigests();
		}
		if (now >= this.nextPublish) {
			publish(now);
		}
	}

	// Sends digests outside of their interval, such as after a configuration was applied.
	void sendDigests() {
		long now = this.context.now();
		applySelf(now);
		updatePeerAddresses();
		Set<HostId> receivers = getReceivers();
		HostView self = this.writer.buildSelf(this.heartbeat, this.stopping);
		PeerFrame frame = PeerFrame.newBuilder().setDigest(this.writer.build(self, receivers, now)).build();
		receivers.forEach((host) -> this.context.transport().send(host, LinkPurpose.CONTROL, frame));
	}

	// Marks an upstream as leaving and broadcasts a notice, unless it is marked already.
	void reportLeaving(UpstreamId upstream, long incarnation, String source) {
		long now = this.context.now();
		if (!this.table.applyLeaving(upstream, incarnation, 0, now)) {
			return;
		}
		logger.log(ControlEvent.UPSTREAM_LEAVING, upstream, incarnation, source);
		this.context.record(AccountCode.UPSTREAM_LEAVING, "upstream", upstream.value(), Map.of("source", source));
		publish(now);
		broadcast(PeerFrame.newBuilder()
			.setLeavingNotice(LeavingNotice.newBuilder().setUpstream(upstream.value()).setIncarnation(incarnation))
			.build());
	}

	// Broadcasts the planned stop of this host.
	void announceStop() {
		this.stopping = true;
		broadcast(PeerFrame.newBuilder()
			.setStopNotice(StopNotice.newBuilder()
				.setHost(this.context.identity().host().value())
				.setIncarnation(this.context.identity().incarnation()))
			.build());
		sendDigests();
		publish(this.context.now());
	}

	private void applyPause(long now) {
		long gap = (this.lastTick == Long.MIN_VALUE) ? 0 : now - this.lastTick;
		this.lastTick = now;
		if (gap > this.context.options().hostSilent().toMillis() / 2) {
			logger.log(ControlEvent.PAUSED, gap);
			this.table.applyPause(gap);
		}
	}

	private void pollHostList(long now) {
		if (this.hostListPolling
				&& now - this.hostListPollStarted < 2 * this.context.options().platformTimeout().toMillis()) {
			return;
		}
		this.hostListPolling = true;
		this.hostListPollStarted = now;
		this.context.onLoop(this.context.hostDirectory().list()).subscribe().with(this::onHostList, (failure) -> {
			this.hostListPolling = false;
			this.health.recordFailure(HOST_LIST, failure);
		});
	}

	private void onHostList(List<ListedHost> list) {
		this.hostListPolling = false;
		this.health.recordSuccess(HOST_LIST);
		long now = this.context.now();
		try {
			Set<UpstreamId> before = getLeaving();
			this.table.applyList(list, now);
			this.hostListRead |= !list.isEmpty();
			publish(now);
			for (ListedHost host : list) {
				if (host.leaving() && !host.service().isEmpty() && !before.contains(UpstreamId.of(host.name()))) {
					broadcastLeaving(host);
				}
			}
		}
		catch (RuntimeException ex) {
			this.health.recordFailure(HOST_LIST, ex);
		}
	}

	// Broadcasts an upstream that the host list marks as leaving, since other hosts may
	// read the list later or not at all.
	private void broadcastLeaving(ListedHost host) {
		logger.log(ControlEvent.UPSTREAM_LEAVING, host.name(), host.incarnation(), HOST_LIST);
		this.context.record(AccountCode.UPSTREAM_LEAVING, "upstream", host.name(), Map.of("source", HOST_LIST));
		broadcast(PeerFrame.newBuilder()
			.setLeavingNotice(LeavingNotice.newBuilder().setUpstream(host.name()).setIncarnation(host.incarnation()))
			.build());
	}

	private Set<UpstreamId> getLeaving() {
		return this.table.toView(this.context.now(), true)
			.upstreams()
			.stream()
			.filter((u) -> u.leaving())
			.map((u) -> u.id())
			.collect(Collectors.toSet());
	}

	private void identifySeeds() {
		for (String seed : this.context.options().seeds()) {
			if (!seed.equals(this.context.peerAddress()) && !this.registeredAddresses.containsValue(seed)) {
				this.context.onLoop(this.context.peerDirectory().identifyPeer(seed)).subscribe().with((host) -> {
					if (!host.equals(this.context.identity().host())) {
						this.identifiedSeeds.add(host);
						this.registeredAddresses.put(host, seed);
					}
				}, (failure) -> {
				});
			}
		}
	}

	private Set<HostId> getReceivers() {
		Set<HostId> receivers = new HashSet<>(this.table.getDigestReceivers());
		receivers.addAll(this.identifiedSeeds);
		return receivers;
	}

	private void broadcast(PeerFrame frame) {
		getReceivers().forEach((host) -> this.context.transport().send(host, LinkPurpose.CONTROL, frame));
	}

	private void updatePeerAddresses() {
		Map<HostId, String> known = this.table.getAddresses();
		known.forEach((host, address) -> {
			if (!address.equals(this.registeredAddresses.put(host, address))) {
				this.context.peerDirectory().setPeerAddress(host, address);
			}
		});
		for (HostId host : List.copyOf(this.registeredAddresses.keySet())) {
			if (!known.containsKey(host) && !this.identifiedSeeds.contains(host)) {
				this.registeredAddresses.remove(host);
				this.context.peerDirectory().removePeer(host);
			}
		}
	}

	private void applySelf(long now) {
		this.heartbeat++;
		this.table.applyHost(this.writer.buildSelf(this.heartbeat, this.stopping), now);
	}

	private void onDigest(HostId from, PeerFrame frame) {
		Digest digest = frame.getDigest();
		if (!digest.getSelf().getHost().equals(from.value())) {
			throw new PeerException(ErrorCode.PEER_MESSAGE_INVALID,
					"a digest must be of its sender " + from + " but is of '" + digest.getSelf().getHost() + "'");
		}
		long now = this.context.now();
		if (this.table.applyHost(digest.getSelf(), now)) {
			applyLoad(from, digest, now);
		}
		digest.getKnownHostsList()
			.stream()
			.filter((v) -> !v.getHost().equals(this.context.identity().host().value()))
			.forEach((v) -> this.table.applyHost(v, now));
		for (UpstreamView upstream : digest.getUpstreamsList()) {
			if (upstream.getLeaving() && this.table.applyLeaving(UpstreamId.of(upstream.getUpstream()),
					upstream.getIncarnation(), upstream.getLeavingAgeMs(), now)) {
				logger.log(ControlEvent.UPSTREAM_LEAVING, upstream.getUpstream(), upstream.getIncarnation(), from);
				publish(now);
			}
		}
		this.digestListeners.forEach((listener) -> listener.accept(digest));
	}

	private void applyLoad(HostId from, Digest digest, long now) {
		HostMember member = this.table.find(from).orElseThrow();
		ReceivedLoad known = this.loads.get(from);
		if (known == null || known.getIncarnation() != member.incarnation()) {
			known = new ReceivedLoad(from, member.domain(), member.incarnation());
			this.loads.put(from, known);
		}
		known.apply(digest, now);
	}

	private void onLeavingNotice(HostId from, PeerFrame frame) {
		LeavingNotice notice = frame.getLeavingNotice();
		// Forwards the notice to hosts that the sender cannot reach.
		reportLeaving(UpstreamId.of(notice.getUpstream()), notice.getIncarnation(), from.value());
	}

	private void onStopNotice(HostId from, PeerFrame frame) {
		this.table.applyStopping(HostId.of(frame.getStopNotice().getHost()), frame.getStopNotice().getIncarnation(),
				this.context.now());
		publish(this.context.now());
	}

	// Changes of leaving and stopping members are published immediately, all others at an
	// interval, since a snapshot costs more than the processing of a digest.
	private void publish(long now) {
		this.nextPublish = now
				+ Math.min(MAX_PUBLISH_MILLIS, this.context.options().hostSilent().toMillis() / PUBLISHES_PER_SILENCE);
		FleetView next = this.table.toView(now, this.health.isReachable());
		logMembershipChanges(this.view, next, now);
		Set<HostId> live = next.hosts().stream().map(HostMember::id).collect(Collectors.toSet());
		this.loads.keySet().retainAll(live);
		this.view = next;
		this.load = FleetLoad.of(this.loads.values());
		this.lost = this.table.getLost(now);
	}

	private void logMembershipChanges(FleetView before, FleetView after, long now) {
		Map<HostId, HostMember> old = new HashMap<>();
		before.hosts().forEach((h) -> old.put(h.id(), h));
		for (HostMember host : after.hosts()) {
			if (old.remove(host.id()) == null) {
				logger.log(ControlEvent.HOST_FOUND, host.id(), host.incarnation(), host.domain());
			}
		}
		for (HostMember host : new ArrayList<>(old.values())) {
			long silent = now - host.lastSeenMillis();
			logger.log(ControlEvent.HOST_LOST, host.id(), host.incarnation(), silent);
			this.context.record(AccountCode.HOST_LOST, "host", host.id().value(),
					Map.of("silent_ms", String.valueOf(silent)));
		}
	}

	private PeerHandler onLoop(FrameConsumer consumer) {
		return (from, frame) -> Uni.createFrom().<PeerFrame>item(() -> {
			try {
				consumer.accept(from, frame);
			}
			catch (WigeongladeException ex) {
				logger.log(ControlEvent.DIGEST_REJECTED, from, ex.getMessage());
				throw ex;
			}
			return null;
		}).runSubscriptionOn(this.context.loop());
	}

	@FunctionalInterface
	private interface FrameConsumer {

		void accept(HostId from, PeerFrame frame);

	}

}
