package org.wigeonglade.gateway.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.google.common.collect.Lists;
import com.google.common.primitives.Ints;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.KvMemoryTracker;
import org.wigeonglade.gateway.fleet.LeavingRunners;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.RequestLimits;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.RunnerSpeeds;
import org.wigeonglade.gateway.job.FailureCounter;
import org.wigeonglade.gateway.job.ItemId;
import org.wigeonglade.gateway.job.JobId;
import org.wigeonglade.gateway.job.OutputClaims;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.schema.generated.crash.CrashNotice;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.HostEntry;
import org.wigeonglade.schema.generated.gateway.ItemFailures;
import org.wigeonglade.schema.generated.gateway.LeavingRunner;
import org.wigeonglade.schema.generated.gateway.OutputClaim;
import org.wigeonglade.schema.generated.gateway.Preemption;
import org.wigeonglade.schema.generated.gateway.RunnerLimit;
import org.wigeonglade.schema.generated.gateway.RunnerLoad;

/**
 * Exchanges state with the other hosts by UDP datagrams: load reports, which also serve
 * as heartbeats, and requests for preemption. Changes are sent sooner to hosts in the
 * same failure domain than to the others, because requests are preferably placed on
 * runners in the own domain. Confined to the event loop.
 */
public final class PeerStateExchange {

	private static final EventLogger LOG = EventLogger.of(PeerStateExchange.class);

	/** Interval between datagrams to a host that is not alive, in milliseconds. */
	private static final long LOST_HOST_INTERVAL_MILLIS = 1_000;

	/**
	 * Time in microseconds, for each receiving host, during which changes are coalesced
	 * into one datagram. It bounds the rate of datagrams that a host sends, independently
	 * of the number of hosts.
	 */
	private static final long COALESCING_MICROS_PER_HOST = 350;

	/**
	 * Time in milliseconds for which changes of all hosts are collected before they are
	 * passed on. It bounds what a relaying host sends, whatever the size of the fleet.
	 */
	private static final long RELAY_INTERVAL_MILLIS = 12;

	/** Number of crash reports in one datagram, so that few of them are fragmented. */
	private static final int CRASHES_PER_DATAGRAM = 8;

	private final HostEntry self;

	private final EventLoop loop;

	private final Ticker ticker;

	private final LoadTracker loadTracker;

	private final RequestLimits requestLimits;

	private final PeerTable table;

	private final Listener listener;

	private KvMemoryTracker memory = new KvMemoryTracker();

	private final Map<HostId, Long> lastSent = new HashMap<>();

	private Channel channel;

	private long sequence;

	private ExchangeMetrics metrics = new ExchangeMetrics(new PrometheusRegistry());

	private final LoadReportReader reader;

	private final ReportRelay relay;

	private boolean relaying;

	private boolean loadReportScheduled;

	private boolean relayScheduled;

	private boolean ownDomainScheduled;

	private boolean otherDomainsScheduled;

	private BooleanSupplier leaving = () -> false;

	private BooleanSupplier jobStateCurrent = () -> false;

	private BooleanSupplier relays = () -> false;

	private BooleanSupplier registrationsSteady = () -> false;

	private IntSupplier waitingItems = () -> 0;

	private Supplier<Collection<LeavingRunners.Departure>> leavingRunners = List::of;

	private Supplier<List<FailureCounter.Count>> itemFailures = List::of;

	private Supplier<List<OutputClaims.Claim>> outputClaims = List::of;

	private Optional<UsageExchange> usage = Optional.empty();

	private RunnerSpeeds speeds = new RunnerSpeeds((runner) -> 0);

	/**
	 * Creates an exchange that is not bound to a socket yet.
	 * @param self this host, not null
	 * @param loop the event loop, not null
	 * @param ticker the clock, not null
	 * @param loadTracker the load of runners, updated from datagrams, not null
	 * @param requestLimits the requests sent to limited runners, updated from datagrams,
	 * not null
	 * @param table the other hosts, updated from datagrams, not null
	 * @param listener receives the remaining contents of datagrams, not null
	 */
	public PeerStateExchange(HostEntry self, EventLoop loop, Ticker ticker, LoadTracker loadTracker,
			RequestLimits requestLimits, PeerTable table, Listener listener) {
		this.self = self;
		this.loop = loop;
		this.ticker = ticker;
		this.loadTracker = loadTracker;
		this.requestLimits = requestLimits;
		this.table = table;
		this.listener = listener;
		this.reader = new LoadReportReader(loadTracker, requestLimits, table);
		this.relay = new ReportRelay(HostId.of(self.getHost()), FailureDomain.of(self.getDomain()), table);
	}

	/**
	 * Sets the suppliers of the state that this host sends.
	 * @param isLeaving whether this host is shutting down, not null
	 * @param isJobStateCurrent whether its state of jobs is up to date, not null
	 * @param waiting the number of its items that wait for a slot, not null
	 * @param runners the runners that are shutting down, not null
	 * @param failures the numbers of failed runs of unfinished items, not null
	 */
	public void setStateSuppliers(BooleanSupplier isLeaving, BooleanSupplier isJobStateCurrent, IntSupplier waiting,
			Supplier<Collection<LeavingRunners.Departure>> runners, Supplier<List<FailureCounter.Count>> failures) {
		this.itemFailures = failures;
		this.leavingRunners = runners;
		this.leaving = isLeaving;
		this.jobStateCurrent = isJobStateCurrent;
		this.waitingItems = waiting;
	}

	/**
	 * Sets the supplier of the output of items that this host continues.
	 * @param claims the claims, not null
	 */
	public void setOutputClaims(Supplier<List<OutputClaims.Claim>> claims) {
		this.outputClaims = claims;
	}

	/**
	 * Sets the exchange of the usage of workspaces.
	 * @param exchange the exchange, not null
	 */
	public void setUsageExchange(UsageExchange exchange) {
		this.usage = Optional.of(exchange);
		this.reader.setUsageExchange(exchange);
	}

	/**
	 * Sets the speeds of runners, which are exchanged with the other hosts.
	 * @param runnerSpeeds the speeds, updated from datagrams, not null
	 * @param registered finds the registration of a runner, not null
	 */
	public void setSpeeds(RunnerSpeeds runnerSpeeds, Function<RunnerId, Optional<RunnerEntry>> registered) {
		this.speeds = runnerSpeeds;
		this.reader.setSpeeds(runnerSpeeds, registered);
	}

	/**
	 * Sets the tokens in progress, which are updated from datagrams.
	 * @param tracker the tracker, not null
	 */
	public void setMemoryTracker(KvMemoryTracker tracker) {
		this.memory = tracker;
		this.reader.setMemoryTracker(tracker);
	}

	/**
	 * Sets whether this host connects others to runners.
	 * @param isRelaying the supplier of the answer, not null
	 */
	public void setRelaySupplier(BooleanSupplier isRelaying) {
		this.relays = isRelaying;
	}

	/**
	 * Sets whether this host has read the registrations of runners without an outage.
	 * @param isSteady the supplier of the answer, not null
	 */
	public void setRegistrationsSteady(BooleanSupplier isSteady) {
		this.registrationsSteady = isSteady;
	}

	/**
	 * Sets the metrics of the datagrams.
	 * @param exchangeMetrics the metrics, not null
	 */
	public void setMetrics(ExchangeMetrics exchangeMetrics) {
		this.metrics = exchangeMetrics;
	}

	/**
	 * Binds the socket.
	 * @param address the local address, not null
	 * @return a future that completes when the socket is bound, or fails
	 */
	public ChannelFuture listen(InetSocketAddress address) {
		ChannelFuture bound = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.handler(new SimpleChannelInboundHandler<DatagramPacket>() {
				@Override
				protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
					receive(ByteBufUtil.getBytes(packet.content()));
				}

				@Override
				public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
					LOG.log(GatewayEvent.DATAGRAM_INVALID, cause, 0);
				}
			})
			.bind(address);
		this.channel = bound.channel();
		return bound;
	}

	/**
	 * Schedules a report to all hosts after a change; calls within the coalescing time
	 * share a datagram. Does nothing before the socket is bound.
	 */
	public void scheduleReport() {
		if (this.channel == null) {
			return;
		}
		if (!this.ownDomainScheduled) {
			this.ownDomainScheduled = true;
			this.loop.schedule(() -> {
				this.ownDomainScheduled = false;
				sendToDue(newDatagram().build(), this::isInOwnDomain, true);
			}, getCoalescingMicros(this::isInOwnDomain), TimeUnit.MICROSECONDS);
		}
		if (!this.otherDomainsScheduled) {
			this.otherDomainsScheduled = true;
			this.loop.schedule(() -> {
				this.otherDomainsScheduled = false;
				sendToDue(newDatagram().build(), (peer) -> !isInOwnDomain(peer), true);
			}, getCoalescingMicros((peer) -> true), TimeUnit.MICROSECONDS);
		}
	}

	/**
	 * Schedules a report of changes of load. In a large fleet it is sent to the relaying
	 * hosts, otherwise to all. Does nothing before the socket is bound.
	 */
	public void scheduleLoadReport() {
		if (!this.table.isLargeFleet()) {
			scheduleReport();
			return;
		}
		if (this.channel == null || this.loadReportScheduled) {
			return;
		}
		this.loadReportScheduled = true;
		this.loop.schedule(() -> {
			this.loadReportScheduled = false;
			sendLoadReport(newLoadReport(), this.relay::isToldDirectly);
		}, getCoalescingMicros(this.relay::isToldDirectly), TimeUnit.MICROSECONDS);
		if (this.relaying) {
			scheduleRelay();
		}
	}

	// A relaying host tells its listeners of its own changes along with those of others.
	private void scheduleRelay() {
		if (!this.relayScheduled) {
			this.relayScheduled = true;
			this.loop.schedule(() -> {
				this.relayScheduled = false;
				sendLoadReport(newLoadReport().addAllRelayedReports(this.relay.takeChanges()), this.relay::isListener);
			}, RELAY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void sendLoadReport(Datagram.Builder report, Predicate<PeerTable.Peer> recipients) {
		byte[] bytes = report.build().toByteArray();
		for (PeerTable.Peer peer : this.table.getPeers()) {
			if (peer.isAlive() && recipients.test(peer)) {
				this.channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer.getAddress()));
				this.metrics.countSent(bytes.length);
			}
		}
		this.channel.flush();
	}

	/**
	 * Returns the estimated delay of the load reports of other hosts.
	 * @return the longest time for which changes are coalesced, never null
	 */
	public Duration getReportLag() {
		return this.table.isLargeFleet()
				? Duration.ofMillis(RELAY_INTERVAL_MILLIS)
					.plus(getCoalescingMicros(this.relay::isToldDirectly), ChronoUnit.MICROS)
				: Duration.of(getCoalescingMicros((peer) -> true), ChronoUnit.MICROS);
	}

	private long getCoalescingMicros(Predicate<PeerTable.Peer> recipients) {
		long hosts = this.table.getPeers().stream().filter((peer) -> peer.isAlive() && recipients.test(peer)).count();
		return COALESCING_MICROS_PER_HOST * Math.max(1, hosts);
	}

	private boolean isInOwnDomain(PeerTable.Peer peer) {
		return peer.getDomain().value().equals(this.self.getDomain());
	}

	/**
	 * Sends a datagram to the hosts whose heartbeat is due.
	 */
	public void sendHeartbeats() {
		long now = this.ticker.millis();
		this.relaying = this.relay.hasListeners();
		if (!this.relaying) {
			this.relay.clear();
		}
		if (this.relay.choose(this.leaving.getAsBoolean(), now)) {
			LOG.log(GatewayEvent.REPORT_RELAY_CHOSEN, this.relay.getChosen().orElse(null));
			scheduleReport();
		}
		if (this.channel != null && this.table.getPeers().stream().anyMatch((peer) -> isDue(peer, false, now))) {
			sendToDue(newDatagram().build(), (peer) -> true, false);
		}
		sendUsageReports(now);
	}

	private void sendUsageReports(long now) {
		this.usage.ifPresent((exchange) -> exchange.sendReports(now, (host, report) -> this.table.find(host)
			.ifPresent((peer) -> send(peer, newDatagram().mergeFrom(report).build().toByteArray()))));
	}

	/**
	 * Requests the preemption of one batch item. Does nothing if the host is not
	 * registered.
	 * @param host the host that runs the item, not null
	 * @param runner the runner, not null
	 */
	public void requestPreemption(HostId host, RunnerId runner) {
		this.table.find(host).ifPresent((peer) -> {
			Preemption preemption = Preemption.newBuilder().setRunner(runner.value()).setSlots(1).build();
			send(peer, newDatagram().addPreemptions(preemption).build().toByteArray());
			this.loadTracker.recordPreemptionRequest(host, runner);
		});
	}

	/**
	 * Sends crash reports to the live hosts.
	 * @param reports the reports, not null
	 */
	public void sendCrashReports(List<CrashNotice> reports) {
		Lists.partition(reports, CRASHES_PER_DATAGRAM)
			.forEach((crashes) -> sendToDue(newDatagram().addAllCrashes(crashes).build(), (peer) -> true, true));
	}

	/**
	 * Sends limits of runners to the live hosts.
	 * @param limits the limits, not null
	 */
	public void sendLimits(List<RunnerLimit> limits) {
		sendToDue(newDatagram().addAllLimits(limits).build(), (peer) -> true, true);
	}

	/**
	 * Sends limits of runners to one host. Does nothing if the host is not registered.
	 * @param host the host, not null
	 * @param limits the limits, not null
	 */
	public void sendLimits(HostId host, List<RunnerLimit> limits) {
		this.table.find(host).ifPresent((peer) -> send(peer, newDatagram().addAllLimits(limits).build().toByteArray()));
	}

	/**
	 * Sends crash reports to one host. Does nothing if the host is not registered.
	 * @param host the host, not null
	 * @param reports the reports, not null
	 */
	public void sendCrashReports(HostId host, List<CrashNotice> reports) {
		this.table.find(host)
			.ifPresent((peer) -> Lists.partition(reports, CRASHES_PER_DATAGRAM)
				.forEach((crashes) -> send(peer, newDatagram().addAllCrashes(crashes).build().toByteArray())));
	}

	private Datagram.Builder newDatagram() {
		Datagram.Builder builder = newLoadReport();
		this.leavingRunners.get()
			.forEach((departure) -> builder.addLeavingRunners(LeavingRunner.newBuilder()
				.setRunner(departure.runner().value())
				.setRunnerStartedMs(departure.startedMillis())));
		this.itemFailures.get()
			.forEach((count) -> builder.addItemFailures(ItemFailures.newBuilder()
				.setJobId(count.job().value())
				.setItemId(count.item().value())
				.setFailures(count.failures())));
		return builder;
	}

	private Datagram.Builder newLoadReport() {
		Datagram.Builder builder = Datagram.newBuilder()
			.setSender(this.self)
			.setSequence(++this.sequence)
			.setLeaving(this.leaving.getAsBoolean())
			.setJobsCurrent(this.jobStateCurrent.getAsBoolean())
			.setWaitingItems(this.waitingItems.getAsInt())
			.setRelays(this.relays.getAsBoolean())
			.setRegistrationsSteady(this.registrationsSteady.getAsBoolean());
		this.relay.getChosen().ifPresent((host) -> builder.setReportRelay(host.value()));
		this.outputClaims.get()
			.forEach((claim) -> builder
				.addOutputClaims(OutputClaim.newBuilder().setItemHash(claim.itemHash()).setEvents(claim.events())));
		addLoads(builder);
		this.usage.ifPresent((exchange) -> exchange.addChanges(builder, this.ticker.millis()));
		return builder;
	}

	// A limited runner is reported without a load too, because others have to charge what
	// was sent to it, and one whose speed was observed.
	private void addLoads(Datagram.Builder builder) {
		Map<RunnerId, LoadTracker.Load> loads = this.loadTracker.getLocalLoads();
		Map<RunnerId, Integer> sent = this.requestLimits.getSent();
		Map<RunnerId, Integer> reports = this.speeds.selectReports(loads.keySet(), this.ticker.millis());
		Map<RunnerId, Long> tokens = this.memory.getLocal();
		Set<RunnerId> reported = new HashSet<>(loads.keySet());
		reported.addAll(sent.keySet());
		reported.addAll(reports.keySet());
		reported.addAll(tokens.keySet());
		reported.forEach((runner) -> {
			LoadTracker.Load load = loads.getOrDefault(runner, LoadTracker.Load.NONE);
			builder.addLoads(RunnerLoad.newBuilder()
				.setRunner(runner.value())
				.setOnline(load.online())
				.setBatch(load.batch())
				.setSent(sent.getOrDefault(runner, 0))
				.setSpeed(reports.getOrDefault(runner, 0))
				.setTokens(Ints.saturatedCast(tokens.getOrDefault(runner, 0L))));
		});
	}

	private void sendToDue(Datagram datagram, Predicate<PeerTable.Peer> recipients, boolean immediate) {
		byte[] bytes = datagram.toByteArray();
		long now = this.ticker.millis();
		for (PeerTable.Peer peer : new ArrayList<>(this.table.getPeers())) {
			if (recipients.test(peer) && isDue(peer, immediate, now)) {
				send(peer, bytes);
			}
		}
		this.channel.flush();
	}

	private boolean isDue(PeerTable.Peer peer, boolean immediate, long now) {
		long since = now - this.lastSent.getOrDefault(peer.getHost(), -LOST_HOST_INTERVAL_MILLIS);
		return since >= (peer.isAlive() ? (immediate ? 0 : this.table.getHeartbeatIntervalMillis())
				: LOST_HOST_INTERVAL_MILLIS);
	}

	private void send(PeerTable.Peer peer, byte[] bytes) {
		this.lastSent.put(peer.getHost(), this.ticker.millis());
		this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer.getAddress()));
		this.metrics.countSent(bytes.length);
	}

	private void receive(byte[] bytes) {
		try {
			Datagram datagram = Datagram.parseFrom(bytes);
			this.metrics.countReceived(bytes.length, datagram.getRelayedReportsCount());
			receive(datagram);
		}
		catch (InvalidProtocolBufferException ex) {
			LOG.log(GatewayEvent.DATAGRAM_INVALID, ex, bytes.length);
		}
	}

	private void receive(Datagram datagram) {
		HostEntry sender = datagram.getSender();
		if (sender.getHost().equals(this.self.getHost())) {
			return;
		}
		HostId host = HostId.of(sender.getHost());
		if (!this.table.isKnown(host, sender.getIncarnation())) {
			this.listener.hostDiscovered(sender);
		}
		long now = this.ticker.millis();
		if (this.table.recordDatagram(host, sender.getIncarnation(), datagram.getLeaving(), datagram.getJobsCurrent(),
				now)) {
			LOG.log(GatewayEvent.HOST_ALIVE, host, sender.getIncarnation(), sender.getDomain());
			this.listener.hostAlive(host);
		}
		this.table.find(host).ifPresent((peer) -> {
			peer.setWaitingItems(datagram.getWaitingItems());
			peer.setRelays(datagram.getRelays());
			peer.setReportRelay(readReportRelay(datagram));
		});
		if (datagram.getRegistrationsSteady()) {
			this.listener.registrationsSteady(host);
		}
		datagram.getLimitsList().forEach((limit) -> this.listener.limitReported(limit, host));
		if (this.reader.apply(host, datagram, now)) {
			if (this.relaying && this.relay.recordReport(datagram)) {
				scheduleRelay();
			}
			List<OutputClaims.Claim> claims = new ArrayList<>();
			datagram.getOutputClaimsList()
				.forEach((claim) -> claims.add(new OutputClaims.Claim(claim.getItemHash(), claim.getEvents())));
			this.listener.outputClaimed(host, claims);
		}
		datagram.getRelayedReportsList().forEach((report) -> this.reader.applyRelayed(report, now));
		List<Preemption> preemptions = datagram.getPreemptionsList();
		preemptions.forEach((p) -> this.listener.preemptionRequested(RunnerId.of(p.getRunner()), p.getSlots()));
		datagram.getCrashesList().forEach(this.listener::crashReported);
		datagram.getItemFailuresList()
			.forEach((f) -> this.listener.itemFailuresReported(sender, JobId.of(f.getJobId()), ItemId.of(f.getItemId()),
					f.getFailures()));
		datagram.getLeavingRunnersList()
			.forEach((l) -> this.listener.runnerLeavingReported(RunnerId.of(l.getRunner()), l.getRunnerStartedMs(),
					host));
		sendUsageReports(now);
	}

	private Optional<HostId> readReportRelay(Datagram datagram) {
		Optional<HostId> chosen = datagram.getReportRelay().isEmpty() ? Optional.empty()
				: Optional.of(HostId.of(datagram.getReportRelay()));
		this.relaying |= chosen.filter((host) -> host.value().equals(this.self.getHost())).isPresent();
		return chosen;
	}

	/**
	 * Receives the contents of datagrams that concern other components.
	 */
	public interface Listener {

		/**
		 * Called before the other contents of a datagram are processed if the incarnation
		 * of its sender is not registered.
		 * @param sender the sender, not null
		 */
		void hostDiscovered(HostEntry sender);

		/**
		 * Called when another host requests the preemption of batch items of this host.
		 * @param runner the runner, not null
		 * @param slots the number of items to preempt
		 */
		void preemptionRequested(RunnerId runner, int slots);

		/**
		 * Called when a host has become alive.
		 * @param host the host, not null
		 */
		void hostAlive(HostId host);

		/**
		 * Called when another host reports that it has read the registrations of runners
		 * without an outage.
		 * @param host the host, not null
		 */
		void registrationsSteady(HostId host);

		/**
		 * Called for each limit of a runner that another host reports.
		 * @param limit the limit, not null
		 * @param source the reporting host, not null
		 */
		void limitReported(RunnerLimit limit, HostId source);

		/**
		 * Called for each crash of a runner that another host reports.
		 * @param notice the report, not null
		 */
		void crashReported(CrashNotice notice);

		/**
		 * Called for each runner that another host reports as leaving.
		 * @param runner the runner, not null
		 * @param startedMillis the start of the runner's process, in milliseconds since
		 * the epoch
		 * @param source the reporting host, not null
		 */
		void runnerLeavingReported(RunnerId runner, long startedMillis, HostId source);

		/**
		 * Called for each item of which another host reports failed runs.
		 * @param sender the host that counted them, not null
		 * @param job the job, not null
		 * @param item the item, not null
		 * @param failures the number of failed runs since the start of the sender
		 */
		void itemFailuresReported(HostEntry sender, JobId job, ItemId item, int failures);

		/**
		 * Called with all claims of another host.
		 * @param host the other host, not null
		 * @param claims the output that it continues, not null
		 */
		void outputClaimed(HostId host, List<OutputClaims.Claim> claims);

	}

}
