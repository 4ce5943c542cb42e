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
 * Follows the configuration stream and applies accepted configurations, which are read
 * from the log or fetched from peers. The version in force never decreases: a host starts
 * without a configuration and is not ready before it has read the log to its head or has
 * received responses of at least half of the other hosts. All state changes run on the
 * control loop.
 */
final class ConfigurationRuntime {

	private static final EventLogger logger = EventLogger.of(ConfigurationRuntime.class);

	private static final VersionedConfiguration NONE = new VersionedConfiguration(0,
			new FleetConfiguration().withProfiles(List.of()).withServices(List.of()).withWorkspaces(List.of()));

	private final ControlContext context;

	private final ConfigurationBodyParser bodyParser;

	private final MemberRuntime members;

	private final StreamReader reader;

	private final Map<HostId, Long> newerPeerVersions = new LinkedHashMap<>();

	private final StartupQuorum startupQuorum = new StartupQuorum();

	private final List<Consumer<VersionedConfiguration>> listeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<LogSlice>> sliceListeners = new CopyOnWriteArrayList<>();

	private volatile ConfigurationReplay replay = ConfigurationReplay.start();

	private volatile VersionedConfiguration current = NONE;

	private volatile ConfigChange highestAccepted = ConfigChange.getDefaultInstance();

	private volatile boolean ready;

	private volatile String problem = "";

	private long unusableVersion;

	private boolean fetching;

	private long fetchStarted;

	private long nextPeerQuery;

	ConfigurationRuntime(ControlContext context, PlatformHealth health, ConfigurationBodyParser bodyParser,
			MemberRuntime members) {
		this.context = context;
		this.bodyParser = bodyParser;
		this.members = members;
		this.reader = new StreamReader(context, health, ControlStreams.CONFIG, this::onSlice);
		members.setConfigVersion(() -> this.current.version());
		members.addDigestListener((digest) -> onPeerVersion(digest.getSelf().getHost(), digest.getConfigVersion()));
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

	ConfigChange getHighestAccepted() {
		return this.highestAccepted;
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

	// Reads the stream up to its head.
	Uni<Void> readToHead() {
		return this.reader.readToHead(() -> this.replay.getNextOffset());
	}

	void tick() {
		long now = this.context.now();
		long poll = this.context.options().logPoll().toMillis();
		this.reader.tick(now,
				() -> (this.ready) ? poll * LogPollerSelector.getPollIntervalFactor(this.context, this.members) : poll,
				() -> this.replay.getNextOffset());
		if (!this.ready && now >= this.nextPeerQuery) {
			this.nextPeerQuery = now + this.context.options().digestInterval().toMillis();
			queryPeers();
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
		return new ConfigurationStatus(version, this.highestAccepted.getVersion(), this.ready, this.problem,
				List.copyOf(confirmed), List.copyOf(behind),
				this.members.getLost().stream().map(HostMember::id).toList());
	}

	private void onSlice(LogSlice slice, List<StreamReader.DecodedRecord> records) {
		ConfigurationReplay next = this.replay.withOldest(slice.oldestOffset());
		for (StreamReader.DecodedRecord decoded : records) {
			next = (decoded.record() != null) ? next.plus(decoded.offset(), decoded.record())
					: next.plusUnreadable(decoded.offset());
		}
		boolean head = next.getNextOffset() >= slice.headOffset();
		// Records have expired and the retained ones contain no configuration, so that a
		// version may exist which the log no longer contains.
		boolean expired = slice.oldestOffset() > 0 && next.getVersion() == 0;
		next = (head && !expired) ? next.withHeadReached() : next;
		this.replay = next;
		this.sliceListeners.forEach((listener) -> listener.accept(slice));
		// Before the head is reached, a later record may still contain a newer version.
		if (head && !expired) {
			next.getCurrent().ifPresent((change) -> adopt(change, "log"));
			markReady("log");
		}
	}

	private void adopt(ConfigChange change, String source) {
		if (change.getVersion() > this.highestAccepted.getVersion()) {
			this.highestAccepted = change;
		}
		long version = this.highestAccepted.getVersion();
		if (this.ready && version > this.current.version() && version != this.unusableVersion) {
			applyHighest(source);
		}
	}

	private void markReady(String source) {
		if (this.ready) {
			return;
		}
		this.ready = true;
		if (this.highestAccepted.getVersion() > 0) {
			applyHighest(source);
		}
		logger.log(ControlEvent.CONFIG_READY, this.current.version(), source);
	}

	// If this build cannot parse the body, the previous version stays in force, and other
	// hosts see in the digests that this host has not confirmed the new version.
	private void applyHighest(String source) {
		ConfigChange change = this.highestAccepted;
		try {
			FleetConfiguration body = this.bodyParser.parse(change.getBody().toByteArray());
			this.current = new VersionedConfiguration(change.getVersion(), body);
			this.problem = "";
		}
		catch (WigeongladeException ex) {
			this.problem = ex.getMessage();
			this.unusableVersion = change.getVersion();
			logger.log(ControlEvent.CONFIG_UNUSABLE, ex, change.getVersion(), ex.getMessage());
			return;
		}
		logger.log(ControlEvent.CONFIG_APPLIED, change.getVersion(), change.getAuthor(), change.getReason(), source);
		this.context.record(AccountCode.CONFIG_APPLIED, "config", String.valueOf(change.getVersion()),
				Map.of("source", source));
		// Announces the version immediately, so that hosts without access to the log can
		// fetch it from this one.
		this.members.sendDigests();
		this.listeners.forEach((listener) -> listener.accept(this.current));
	}

	private void onPeerVersion(String host, long version) {
		if (this.ready && version > this.highestAccepted.getVersion()) {
			this.newerPeerVersions.put(HostId.of(host), version);
			fetchFromNextPeer();
		}
	}

	// Fetches from one of the hosts that announced a higher version and tries the next
	// one after a failure, since a link may work in one direction only.
	private void fetchFromNextPeer() {
		long now = this.context.now();
		boolean fetchRunning = this.fetching
				&& now - this.fetchStarted < 2 * this.context.options().platformTimeout().toMillis();
		this.newerPeerVersions.values().removeIf((version) -> version <= this.highestAccepted.getVersion());
		if (fetchRunning || this.newerPeerVersions.isEmpty()) {
			return;
		}
		HostId host = this.newerPeerVersions.keySet().iterator().next();
		this.newerPeerVersions.remove(host);
		this.fetching = true;
		this.fetchStarted = now;
		fetch(host).subscribe().with((answer) -> {
			this.fetching = false;
			answer.getChangesList().forEach((change) -> adopt(change, host.value()));
			fetchFromNextPeer();
		}, (failure) -> {
			this.fetching = false;
			fetchFromNextPeer();
		});
	}

	private void queryPeers() {
		this.members.getAddresses().keySet().forEach(this::queryPeer);
		this.members.getIdentifiedSeeds().forEach(this::queryPeer);
	}

	private void queryPeer(HostId host) {
		fetch(host).subscribe().with((answer) -> {
			answer.getChangesList().forEach((change) -> adopt(change, host.value()));
			this.startupQuorum.add(host);
			int knownHosts = Math.max(this.members.getAddresses().size(), this.context.options().seeds().size());
			if (this.highestAccepted.getVersion() > 0 && this.startupQuorum.isReached(knownHosts)) {
				markReady("peers");
			}
		}, (failure) -> {
		});
	}

	private Uni<ConfigAnswer> fetch(HostId host) {
		PeerFrame frame = PeerFrame.newBuilder()
			.setConfigFetch(ConfigFetch.newBuilder().setAfterVersion(this.highestAccepted.getVersion()))
			.build();
		return this.context.onLoop(this.context.transport()
			.request(host, LinkPurpose.CONTROL, frame, this.context.options().platformTimeout())
			.map(PeerFrame::getConfigAnswer));
	}

	private PeerFrame onFetch(ConfigFetch request) {
		ConfigAnswer.Builder answer = ConfigAnswer.newBuilder();
		if (this.ready && this.highestAccepted.getVersion() > request.getAfterVersion()) {
			answer.addChanges(this.highestAccepted);
		}
		return PeerFrame.newBuilder().setConfigAnswer(answer).build();
	}

}
