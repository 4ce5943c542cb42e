package org.wigeonglade.entry.online;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.crash.CrashNotice;
import org.wigeonglade.schema.generated.log.QuarantineAdded;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.OnlineArrival;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.QuarantineNotice;
import org.wigeonglade.schema.generated.peer.ServiceView;
import org.wigeonglade.schema.generated.peer.SuspectStep;

/**
 * Runs online requests on the runners of the fleet. All streams of a host share one event
 * loop.
 */
public final class OnlineRuntime {

	private static final EventLogger LOG = EventLogger.of(OnlineRuntime.class);

	/**
	 * Interval at which streams in progress and queues are checked, in milliseconds.
	 */
	private static final long SWEEP_MILLIS = 50;

	/** Interval between two load reports of a runner, in milliseconds. */
	private static final long REPORT_MILLIS = 1000;

	/** Time without data after which an attempt counts as failed, in nanoseconds. */
	private static final long STALL_NANOS = 5_000_000_000L;

	private final EventLoop loop;

	private final Ticker ticker;

	private final FailureDomain domain;

	private final Region region;

	private final FleetLoadSource load;

	private final EndpointPolicy policy;

	private final RunnerTable runners;

	private final PeerNotifier notifier;

	private final PoisonRequestGuard poisonGuard;

	private final ServiceCalls serviceCalls;

	private final OnlineContext context;

	private final Random random;

	private final Set<OnlineStream> activeStreams = new LinkedHashSet<>();

	private final Map<String, ServiceAdmission> admissions = new ConcurrentHashMap<>();

	private final Map<ServiceName, ArrivalRate> arrivalRates = new HashMap<>();

	private volatile List<ServiceView> serviceViews = List.of();

	private volatile ArrivalNotices.Listener batchListener = (runner, from, count) -> {
	};

	/**
	 * Creates the runtime without starting it.
	 * @param builder the components and settings, not null
	 */
	public OnlineRuntime(OnlineRuntimeBuilder builder) {
		this.loop = builder.getLoop();
		this.ticker = builder.getTicker();
		this.domain = builder.getDomain();
		this.region = builder.getRegion();
		this.load = builder.getLoad();
		this.policy = builder.getPolicy();
		this.random = new Random(builder.getSeed());
		this.runners = new RunnerTable(builder.getSelf(), builder.getFleet(), builder.getClients(), this.ticker,
				builder.getLoad());
		this.notifier = new PeerNotifier(builder.getSelf(), this.runners, builder.getPeers());
		ArrivalNotices arrivals = new ArrivalNotices(this.notifier,
				(runner, from, count) -> this.batchListener.onArrival(runner, from, count));
		this.poisonGuard = new PoisonRequestGuard(this.loop, this.notifier, this.ticker, builder.getRecorder());
		this.serviceCalls = new ServiceCalls(builder, this.poisonGuard);
		this.context = new OnlineContext(this.loop, this.ticker, this.poisonGuard,
				new IsolationScheduler(this.loop, this.notifier, arrivals, this.ticker), arrivals, builder.getAccount(),
				this.activeStreams);
		if (builder.getPeers() != null) {
			registerHandlers(builder.getPeers());
		}
	}

	AccountRecorder getAccount() {
		return this.context.account();
	}

	/**
	 * Starts the periodic tasks.
	 */
	public void start() {
		this.loop.schedulePeriodic(SWEEP_MILLIS, () -> runGuarded("sweep", this::sweep));
		this.loop.schedulePeriodic(REPORT_MILLIS, () -> runGuarded("load reports", this::fetchLoadReports));
		this.loop.schedulePeriodic(REPORT_MILLIS, () -> runGuarded("arrival notices", this::repeatAnnouncements));
		this.loop.schedulePeriodic(REPORT_MILLIS, () -> runGuarded("crash reports", this.poisonGuard::expireCrashes));
		this.loop.execute(() -> runGuarded("load reports", this::fetchLoadReports));
	}

	/**
	 * Returns the states of the known runners.
	 * @return the table, never null
	 */
	public RunnerTable getRunners() {
		return this.runners;
	}

	/**
	 * Runs a request. May be called from any thread.
	 * @param request the request, not null
	 * @param sink receives the response, not null
	 * @return a handle to control the response, never null
	 */
	public StreamHandle run(OnlineRequest request, StreamSink sink) {
		ServiceAdmission admission = this.admissions.computeIfAbsent(request.service() + "/" + request.model(),
				(key) -> newAdmission(request));
		OnlineStream stream = new OnlineStream(this.context, request, admission, sink);
		this.loop.execute(() -> {
			this.arrivalRates.computeIfAbsent(request.service(), (s) -> new ArrivalRate())
				.recordArrival(this.ticker.nanos());
			admission.getPool().setPlacement(request.profile().getPlacement());
			this.activeStreams.add(stream);
			this.poisonGuard.admit(stream);
		});
		return stream;
	}

	/**
	 * Applies a quarantine that was read from the control stream. May be called from any
	 * thread.
	 * @param added the quarantine, not null
	 */
	public void onQuarantineRecorded(QuarantineAdded added) {
		this.loop.execute(() -> this.poisonGuard.applyNotice(added, true));
	}

	/**
	 * Applies a report of a crash from another host or the control stream. May be called
	 * from any thread.
	 * @param notice the report, not null
	 */
	public void onCrashReported(CrashNotice notice) {
		this.loop.execute(() -> runGuarded("crash report", () -> this.poisonGuard.applyCrash(notice)));
	}

	/**
	 * Lifts a quarantine after a record of the control stream. May be called from any
	 * thread.
	 * @param fingerprint the fingerprint that may run again, not null
	 */
	public void onQuarantineLifted(Fingerprint fingerprint) {
		this.loop.execute(() -> this.poisonGuard.lift(fingerprint));
	}

	/**
	 * Adds this host's runners and services to its digest. May be called from any thread.
	 * @param digest the digest to add to, not null
	 */
	public void contribute(Digest.Builder digest) {
		digest.addAllUpstreams(this.runners.toUpstreamViews());
		digest.addAllServices(this.serviceViews);
		digest.setQuarantineCount((int) this.poisonGuard.countQuarantined());
	}

	/**
	 * Returns the component that forwards calls to plain services.
	 * @return the component, never null
	 */
	public ServiceCalls getServiceCalls() {
		return this.serviceCalls;
	}

	/**
	 * Counts the quarantined fingerprints known to this host.
	 * @return a count, at least 0
	 */
	public long countQuarantined() {
		return this.poisonGuard.countQuarantined();
	}

	List<RunnerState> getDispatchedHere() {
		return this.runners.getStates().stream().filter(RunnerState::isDispatchedHere).toList();
	}

	PeerNotifier getNotifier() {
		return this.notifier;
	}

	PoisonRequestGuard getPoisonGuard() {
		return this.poisonGuard;
	}

	void setBatchListener(ArrivalNotices.Listener listener) {
		this.batchListener = listener;
	}

	private ServiceAdmission newAdmission(OnlineRequest request) {
		return new ServiceAdmission(new RunnerPool(this.runners, this.ticker, request.service(), request.model(),
				this.domain, this.region, this.load), this.ticker, this.random, this.policy);
	}

	private void registerHandlers(PeerTransport peers) {
		peers.handle(PeerFrame.BodyCase.ONLINE_ARRIVAL, (from, frame) -> {
			OnlineArrival arrival = frame.getOnlineArrival();
			RunnerState runner = this.runners.find(UpstreamId.of(arrival.getUpstream()));
			if (runner != null) {
				runner.setRemoteOnlineInFlight(from, arrival.getCount(), this.ticker.millis());
				this.batchListener.onArrival(runner, from, arrival.getCount());
			}
			return Uni.createFrom().nullItem();
		});
		peers.handle(PeerFrame.BodyCase.CRASH_NOTICE, (from, frame) -> {
			onCrashReported(frame.getCrashNotice());
			return Uni.createFrom().nullItem();
		});
		peers.handle(PeerFrame.BodyCase.QUARANTINE_NOTICE,
				(from, frame) -> onQuarantineNotice(from, frame.getQuarantineNotice()));
	}

	private Uni<PeerFrame> onQuarantineNotice(HostId from, QuarantineNotice notice) {
		Fingerprint fingerprint = Fingerprint.of(notice.getAdded().getFingerprint());
		if (notice.getStep() == SuspectStep.SUSPECT_RUN_REQUESTED) {
			return Uni.createFrom()
				.emitter((emitter) -> this.loop
					.execute(() -> emitter.complete(leaseReply(this.poisonGuard.describe(fingerprint),
							this.poisonGuard.grantLease(fingerprint, from, notice.getRunLeaseMs())))));
		}
		this.loop.execute(() -> {
			switch (notice.getStep()) {
				case SUSPECT_CRASHED -> this.poisonGuard.applyNotice(notice.getAdded(), false);
				case SUSPECT_CLEARED -> this.poisonGuard.lift(fingerprint);
				case SUSPECT_RUN_ENDED -> this.poisonGuard.releaseLease(fingerprint, from);
				default -> {
				}
			}
		});
		return Uni.createFrom().nullItem();
	}

	private static PeerFrame leaseReply(QuarantineAdded body, boolean granted) {
		return PeerNotifier.notice(granted ? SuspectStep.SUSPECT_RUN_GRANTED : SuspectStep.SUSPECT_RUN_REFUSED, body,
				0);
	}

	private void sweep() {
		long now = this.ticker.nanos();
		for (OnlineStream stream : List.copyOf(this.activeStreams)) {
			stream.checkTimeouts(now, STALL_NANOS);
		}
		this.admissions.values().forEach(ServiceAdmission::startQueued);
		announceToNewDispatchers();
		Map<ServiceName, ServiceView.Builder> views = new HashMap<>();
		for (ServiceAdmission admission : this.admissions.values()) {
			ServiceName service = admission.getPool().getService();
			ServiceView.Builder view = views.computeIfAbsent(service,
					(s) -> ServiceView.newBuilder()
						.setService(s.value())
						.setOnlineArrivalsPerS(
								this.arrivalRates.containsKey(s) ? this.arrivalRates.get(s).getPerSecond(now) : 0));
			int spareSlots = admission.getPool().getSpareSlots() - admission.getQueued();
			view.setSpareSlots(Math.max(view.getSpareSlots(), spareSlots));
		}
		this.serviceViews = views.values().stream().map(ServiceView.Builder::build).toList();
	}

	// Sends a count to each new dispatcher of this domain. The first request then
	// does not wait for a connection handshake, and a dispatcher that replaces
	// another one receives the number of requests in flight.
	private void announceToNewDispatchers() {
		for (RunnerState runner : this.runners.getStates()) {
			if (!runner.isDispatcherNotified() && runner.getMember().domain().equals(this.domain)) {
				this.context.arrivals().announce(runner);
			}
		}
	}

	// Repeats the counts, because a notice can be lost.
	private void repeatAnnouncements() {
		for (RunnerState runner : this.runners.getStates()) {
			if (runner.getOnlineInFlight() > 0) {
				this.context.arrivals().announce(runner);
			}
		}
	}

	private void fetchLoadReports() {
		for (RunnerState runner : this.runners.getStates()) {
			if (runner.getMember().domain().equals(this.domain)) {
				runner.getOnlineClient().load().subscribe().with(runner::setReport, (failure) -> {
				});
			}
		}
	}

	private void runGuarded(String task, Runnable body) {
		try {
			body.run();
		}
		catch (RuntimeException ex) {
			LOG.log(OnlineEvent.TASK_FAILED, ex, task);
		}
	}

}
