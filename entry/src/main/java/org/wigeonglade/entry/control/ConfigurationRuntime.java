package org.wigeonglade.entry.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.config.ConfigurationBodyParser;
import org.wigeonglade.core.config.ConfigurationReplay;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.peer.ConfigAnswer;
import org.wigeonglade.schema.generated.peer.ConfigFetch;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;

/**
 * Puts configurations in force that the log or a peer tells. The version never goes back:
 * a host starts with none and is not ready before it has read the log to its head or
 * heard at least half of the other hosts. All state changes run on the control loop.
 */
final class ConfigurationRuntime {

	private static final EventLogger logger = EventLogger.of(ConfigurationRuntime.class);

	private static final VersionedConfiguration NONE = new VersionedConfiguration(0,
			new FleetConfiguration().withProfiles(List.of()).withServices(List.of()).withWorkspaces(List.of()));

	private final ControlContext context;

	private final ConfigurationBodyParser bodies;

	private final MemberRuntime members;

	private final StreamReader reader;

	private final Map<HostId, Long> offers = new LinkedHashMap<>();

	private final StartupVotes votes = new StartupVotes();

	private final List<Consumer<VersionedConfiguration>> listeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<LogSlice>> sliceListeners = new CopyOnWriteArrayList<>();

	private volatile ConfigurationReplay replay = ConfigurationReplay.start();

	private volatile VersionedConfiguration current = NONE;

	private volatile ConfigChange highest = ConfigChange.getDefaultInstance();

	private volatile boolean ready;

	private volatile String problem = "";

	private long problemVersion;

	private boolean fetching;

	private long fetchStarted;

	private long nextAsk;

	ConfigurationRuntime(ControlContext context, PlatformHealth health, ConfigurationBodyParser bodies,
			MemberRuntime members) {
		this.context = context;
		this.bodies = bodies;
		this.members = members;
		this.reader = new StreamReader(context, health, ControlStreams.CONFIG, this::onSlice);
		members.setConfigVersion(() -> this.current.version());
		members.addListener((digest) -> onPeerVersion(digest.getSelf().getHost(), digest.getConfigVersion()));
		context.transport()
			.handle(PeerFrame.BodyCase.CONFIG_FETCH,
					(from, frame) -> Uni.createFrom()
						.item(() -> onFetch(frame.getConfigFetch()))
						.runSubscriptionOn(context.loop()));
	}

	VersionedConfiguration getCurrent() {
		return this.current;
	}

	ConfigurationReplay getReplay() {
		return this.replay;
	}

	ConfigChange getHighest() {
		return this.highest;
	}

	boolean isReady() {
		return this.ready;
	}

	void addListener(Consumer<VersionedConfiguration> listener) {
		this.listeners.add(listener);
	}

	void addSliceListener(Consumer<LogSlice> listener) {
		this.sliceListeners.add(listener);
	}

	// Reads the stream to its head; later calls join a read that runs.
	Uni<Void> readToHead() {
		return this.reader.readToHead(() -> this.replay.getNextOffset());
	}

	void tick() {
		long now = this.context.now();
		long poll = this.context.options().logPoll().toMillis();
		this.reader.tick(now,
				() -> (this.ready) ? poll * FollowerChoice.getPollFactor(this.context, this.members) : poll,
				() -> this.replay.getNextOffset());
		if (!this.ready && now >= this.nextAsk) {
			this.nextAsk = now + this.context.options().digestInterval().toMillis();
			askPeers();
		}
	}

	ConfigurationStatus getStatus() {
		long version = this.current.version();
		List<HostId> confirmed = new ArrayList<>();
		List<HostId> behind = new ArrayList<>();
		for (HostMember host : this.members.getView().hosts()) {
			boolean self = host.id().equals(this.context.identity().host());
			((self || host.configVersion() >= version) ? confirmed : behind).add(host.id());
		}
		return new ConfigurationStatus(version, this.highest.getVersion(), this.ready, this.problem,
				List.copyOf(confirmed), List.copyOf(behind),
				this.members.getLost().stream().map(HostMember::id).toList());
	}

	private void onSlice(LogSlice slice, List<StreamReader.Entry> entries) {
		ConfigurationReplay next = this.replay.withOldest(slice.oldestOffset());
		for (StreamReader.Entry entry : entries) {
			next = (entry.record() != null) ? next.plus(entry.offset(), entry.record())
					: next.plusUnreadable(entry.offset());
		}
		boolean head = next.getNextOffset() >= slice.headOffset();
		boolean emptied = slice.oldestOffset() > 0 && next.getVersion() == 0;
		next = (head && !emptied) ? next.withHeadReached() : next;
		this.replay = next;
		this.sliceListeners.forEach((listener) -> listener.accept(slice));
		// Before the head an accepted version may still be replaced by a later record.
		if (head && !emptied) {
			next.getCurrent().ifPresent((change) -> adopt(change, "log"));
			becomeReady("log");
		}
	}

	private void adopt(ConfigChange change, String source) {
		if (change.getVersion() > this.highest.getVersion()) {
			this.highest = change;
		}
		long version = this.highest.getVersion();
		if (this.ready && version > this.current.version() && version != this.problemVersion) {
			putInForce(source);
		}
	}

	private void becomeReady(String source) {
		if (this.ready) {
			return;
		}
		this.ready = true;
		if (this.highest.getVersion() > 0) {
			putInForce(source);
		}
		logger.log(ControlEvent.CONFIG_READY, this.current.version(), source);
	}

	// A body that this build cannot read leaves the version before in force, and other
	// hosts see that this one has not confirmed the new version.
	private void putInForce(String source) {
		ConfigChange change = this.highest;
		try {
			FleetConfiguration body = this.bodies.parse(change.getBody().toByteArray());
			this.current = new VersionedConfiguration(change.getVersion(), body);
			this.problem = "";
		}
		catch (WigeongladeException ex) {
			this.problem = ex.getMessage();
			this.problemVersion = change.getVersion();
			logger.log(ControlEvent.CONFIG_UNUSABLE, ex, change.getVersion(), ex.getMessage());
			return;
		}
		logger.log(ControlEvent.CONFIG_APPLIED, change.getVersion(), change.getAuthor(), change.getReason(), source);
		this.context.record(AccountCode.CONFIG_APPLIED, "config", String.valueOf(change.getVersion()),
				Map.of("source", source));
		// Peers learn at once and fetch it, also those that cannot reach the log.
		this.members.sendDigests();
		this.listeners.forEach((listener) -> listener.accept(this.current));
	}

	private void onPeerVersion(String host, long version) {
		if (this.ready && version > this.highest.getVersion()) {
			this.offers.put(HostId.of(host), version);
			fetchNext();
		}
	}

	// Asks one of the hosts that told a higher version; after a failure the next one,
	// since
	// a link may work in one direction only.
	private void fetchNext() {
		long now = this.context.now();
		boolean running = this.fetching
				&& now - this.fetchStarted < 2 * this.context.options().platformTimeout().toMillis();
		this.offers.values().removeIf((version) -> version <= this.highest.getVersion());
		if (running || this.offers.isEmpty()) {
			return;
		}
		HostId host = this.offers.keySet().iterator().next();
		this.offers.remove(host);
		this.fetching = true;
		this.fetchStarted = now;
		fetch(host).subscribe().with((answer) -> {
			this.fetching = false;
			answer.getChangesList().forEach((change) -> adopt(change, host.value()));
			fetchNext();
		}, (failure) -> {
			this.fetching = false;
			fetchNext();
		});
	}

	private void askPeers() {
		this.members.getAddresses().keySet().forEach(this::askPeer);
		this.members.getIdentifiedPeers().forEach(this::askPeer);
	}

	private void askPeer(HostId host) {
		fetch(host).subscribe().with((answer) -> {
			answer.getChangesList().forEach((change) -> adopt(change, host.value()));
			this.votes.add(host);
			int known = Math.max(this.members.getAddresses().size(), this.context.options().seeds().size());
			if (this.highest.getVersion() > 0 && this.votes.isEnough(known)) {
				becomeReady("peers");
			}
		}, (failure) -> {
		});
	}

	private Uni<ConfigAnswer> fetch(HostId host) {
		PeerFrame frame = PeerFrame.newBuilder()
			.setConfigFetch(ConfigFetch.newBuilder().setAfterVersion(this.highest.getVersion()))
			.build();
		return this.context.onLoop(this.context.transport()
			.request(host, LinkPurpose.CONTROL, frame, this.context.options().platformTimeout())
			.map(PeerFrame::getConfigAnswer));
	}

	private PeerFrame onFetch(ConfigFetch request) {
		ConfigAnswer.Builder answer = ConfigAnswer.newBuilder();
		if (this.ready && this.highest.getVersion() > request.getAfterVersion()) {
			answer.addChanges(this.highest);
		}
		return PeerFrame.newBuilder().setConfigAnswer(answer).build();
	}

}
