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
import org.wigeonglade.schema.generated.log.QuarantineAdded;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.OnlineArrival;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.QuarantineNotice;
import org.wigeonglade.schema.generated.peer.ServiceView;
import org.wigeonglade.schema.generated.peer.SuspectStep;

/**
 * Runs online requests on the runners of the fleet.
 */
public final class OnlineRuntime {

	private static final EventLogger LOG = EventLogger.of(OnlineRuntime.class);

	/**
	 * Interval at which answers in progress and queues are looked at, in milliseconds.
	 */
	private static final long SWEEP_MILLIS = 50;

	/** Interval between two load reports of a runner, in milliseconds. */
	private static final long REPORT_MILLIS = 1000;

	/** Silence after which a runner's answer is given up and resumed elsewhere. */
	private static final long STALL_NANOS = 5_000_000_000L;

	private final EventLoop loop;

	private final Ticker ticker;

	private final FailureDomain domain;

	private final Region region;

	private final FleetLoadSource load;

	private final EndpointPolicy policy;

	private final RunnerTable runners;

	private final HostLinks links;

	private final Suspects suspects;

	private final ServiceCalls serviceCalls;

	private final OnlineParts parts;

	private final Random random;

	private final Set<OnlineStream> active = new LinkedHashSet<>();

	private final Map<String, ServiceAdmission> admissions = new ConcurrentHashMap<>();

	private final Map<ServiceName, ArrivalRate> rates = new HashMap<>();

	private volatile List<ServiceView> serviceViews = List.of();

	private volatile ArrivalNotices.Listener batchListener = (runner, from, count) -> {
	};

	/**
	 * Creates the runtime.
	 * @param builder the parts that it works with, not null
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
		this.links = new HostLinks(builder.getSelf(), this.runners, builder.getPeers());
		ArrivalNotices arrivals = new ArrivalNotices(this.links,
				(runner, from, count) -> this.batchListener.onArrival(runner, from, count));
		this.suspects = new Suspects(this.loop, this.links, this.ticker, builder.getRecorder());
		this.serviceCalls = new ServiceCalls(builder, this.suspects);
		this.parts = new OnlineParts(this.loop, this.ticker, this.suspects,
				new Isolation(this.loop, this.links, arrivals, this.ticker), arrivals, builder.getAccount(),
				this.active);
		if (builder.getPeers() != null) {
			listen(builder.getPeers());
		}
	}

	AccountRecorder getAccount() {
		return this.parts.account();
	}

	/**
	 * Starts the periodic tasks.
	 */
	public void start() {
		this.loop.every(SWEEP_MILLIS, () -> guarded("sweep", this::sweep));
		this.loop.every(REPORT_MILLIS, () -> guarded("load reports", this::readReports));
		this.loop.every(REPORT_MILLIS, () -> guarded("arrival notices", this::repeatArrivals));
		this.loop.execute(() -> guarded("load reports", this::readReports));
	}

	/**
	 * Returns the runners with their figures.
	 * @return the table, never null
	 */
	public RunnerTable getRunners() {
		return this.runners;
	}

	/**
	 * Runs a request. May be called from any thread.
	 * @param request the request, not null
	 * @param sink takes the answer, not null
	 * @return the control of the answer, never null
	 */
	public StreamHandle run(OnlineRequest request, StreamSink sink) {
		ServiceAdmission admission = this.admissions.computeIfAbsent(request.service() + "/" + request.model(),
				(key) -> newAdmission(request));
		OnlineStream stream = new OnlineStream(this.parts, request, admission, sink);
		this.loop.execute(() -> {
			this.rates.computeIfAbsent(request.service(), (s) -> new ArrivalRate()).plusArrival(this.ticker.nanos());
			admission.getPool().setPlacement(request.profile().getPlacement());
			this.active.add(stream);
			this.suspects.enter(stream);
		});
		return stream;
	}

	/**
	 * Takes a quarantine that was read from the control stream.
	 * @param added the quarantine, not null
	 */
	public void onQuarantineRecorded(QuarantineAdded added) {
		this.loop.execute(() -> this.suspects.learn(added, true));
	}

	/**
	 * Takes the lifting of a quarantine that was read from the control stream.
	 * @param fingerprint the fingerprint, not null
	 */
	public void onQuarantineLifted(Fingerprint fingerprint) {
		this.loop.execute(() -> this.suspects.lift(fingerprint));
	}

	/**
	 * Adds the figures of this host to its digest. May be called from any thread.
	 * @param digest the digest to add to, not null
	 */
	public void contribute(Digest.Builder digest) {
		digest.addAllUpstreams(this.runners.toUpstreamViews());
		digest.addAllServices(this.serviceViews);
		digest.setQuarantineCount((int) this.suspects.countQuarantined());
	}

	/**
	 * Returns the calls to plain services.
	 * @return the calls, never null
	 */
	public ServiceCalls getServiceCalls() {
		return this.serviceCalls;
	}

	/**
	 * Counts the quarantined fingerprints that this host knows.
	 * @return a count, at least 0
	 */
	public long countQuarantined() {
		return this.suspects.countQuarantined();
	}

	List<RunnerState> getDispatchedHere() {
		return this.runners.getStates().stream().filter(RunnerState::isDispatchedHere).toList();
	}

	HostLinks getLinks() {
		return this.links;
	}

	Suspects getSuspects() {
		return this.suspects;
	}

	void setBatchListener(ArrivalNotices.Listener listener) {
		this.batchListener = listener;
	}

	private ServiceAdmission newAdmission(OnlineRequest request) {
		return new ServiceAdmission(new RunnerPool(this.runners, this.ticker, request.service(), request.model(),
				this.domain, this.region, this.load), this.ticker, this.random, this.policy);
	}

	private void listen(PeerTransport peers) {
		peers.handle(PeerFrame.BodyCase.ONLINE_ARRIVAL, (from, frame) -> {
			OnlineArrival arrival = frame.getOnlineArrival();
			RunnerState runner = this.runners.find(UpstreamId.of(arrival.getUpstream()));
			if (runner != null) {
				runner.setOthersOnline(from, arrival.getCount(), this.ticker.millis());
				this.batchListener.onArrival(runner, from, arrival.getCount());
			}
			return Uni.createFrom().nullItem();
		});
		peers.handle(PeerFrame.BodyCase.QUARANTINE_NOTICE,
				(from, frame) -> onNotice(from, frame.getQuarantineNotice()));
	}

	private Uni<PeerFrame> onNotice(HostId from, QuarantineNotice notice) {
		Fingerprint fingerprint = Fingerprint.of(notice.getAdded().getFingerprint());
		if (notice.getStep() == SuspectStep.SUSPECT_RUN_REQUESTED) {
			return Uni.createFrom()
				.emitter((emitter) -> this.loop.execute(() -> emitter.complete(answer(this.suspects.tell(fingerprint),
						this.suspects.grantRun(fingerprint, from, notice.getRunLeaseMs())))));
		}
		this.loop.execute(() -> {
			switch (notice.getStep()) {
				case SUSPECT_CRASHED -> this.suspects.learn(notice.getAdded(), false);
				case SUSPECT_CLEARED -> this.suspects.lift(fingerprint);
				case SUSPECT_RUN_ENDED -> this.suspects.endRun(fingerprint, from);
				default -> {
				}
			}
		});
		return Uni.createFrom().nullItem();
	}

	private static PeerFrame answer(QuarantineAdded told, boolean granted) {
		return HostLinks.notice(granted ? SuspectStep.SUSPECT_RUN_GRANTED : SuspectStep.SUSPECT_RUN_REFUSED, told, 0);
	}

	private void sweep() {
		long now = this.ticker.nanos();
		for (OnlineStream stream : List.copyOf(this.active)) {
			stream.check(now, STALL_NANOS);
		}
		this.admissions.values().forEach(ServiceAdmission::pump);
		introduceArrivals();
		Map<ServiceName, ServiceView.Builder> views = new HashMap<>();
		for (ServiceAdmission admission : this.admissions.values()) {
			ServiceName service = admission.getPool().getService();
			ServiceView.Builder view = views.computeIfAbsent(service,
					(s) -> ServiceView.newBuilder()
						.setService(s.value())
						.setOnlineArrivalsPerS(this.rates.containsKey(s) ? this.rates.get(s).getPerSecond(now) : 0));
			int spare = admission.getPool().getSpare() - admission.getQueued();
			view.setSpareSlots(Math.max(view.getSpareSlots(), spare));
		}
		this.serviceViews = views.values().stream().map(ServiceView.Builder::build).toList();
	}

	// Sends a first count to each new dispatcher of this domain: the first request then
	// does not wait for a handshake, and a successor knows what is in flight.
	private void introduceArrivals() {
		for (RunnerState runner : this.runners.getStates()) {
			if (!runner.isDispatcherTold() && runner.getMember().domain().equals(this.domain)) {
				this.parts.arrivals().changed(runner);
			}
		}
	}

	// Counts that were announced and lost are corrected here.
	private void repeatArrivals() {
		for (RunnerState runner : this.runners.getStates()) {
			if (runner.getOnline() > 0) {
				this.parts.arrivals().changed(runner);
			}
		}
	}

	private void readReports() {
		for (RunnerState runner : this.runners.getStates()) {
			if (runner.getMember().domain().equals(this.domain)) {
				runner.getOnlineClient().load().subscribe().with(runner::setReport, (failure) -> {
				});
			}
		}
	}

	private void guarded(String task, Runnable body) {
		try {
			body.run();
		}
		catch (RuntimeException ex) {
			LOG.log(OnlineEvent.TASK_FAILED, ex, task);
		}
	}

}
