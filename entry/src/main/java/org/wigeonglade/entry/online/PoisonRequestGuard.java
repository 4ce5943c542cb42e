package org.wigeonglade.entry.online;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.UpstreamIncarnation;
import org.wigeonglade.core.retry.CrashEvidence;
import org.wigeonglade.core.retry.CrashReport;
import org.wigeonglade.core.retry.Quarantine;
import org.wigeonglade.core.retry.Suspicion;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.crash.CrashNotice;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.QuarantineAdded;
import org.wigeonglade.schema.generated.peer.SuspectStep;

/**
 * Protects runners from poison requests: decides which requests may run at all and which
 * must run in isolation. Runs on one event loop.
 * <p>
 * A fingerprint that has never completed on this host is in flight at most once at a time
 * on this host and, as far as notices reach, in the fleet: duplicates wait for the
 * outcome of the first request. Without this, a poison request that many callers send at
 * the same time would crash one runner for each duplicate.
 */
final class PoisonRequestGuard {

	private static final EventLogger LOG = EventLogger.of(PoisonRequestGuard.class);

	/** Largest number of fingerprints that are remembered as harmless. */
	private static final int MAX_HARMLESS = 20_000;

	/** Largest number of fingerprints that are remembered as suspected or quarantined. */
	private static final int MAX_SUSPICIONS = 20_000;

	/** Time between two requests for the same lease, in milliseconds. */
	private static final long LEASE_RETRY_MILLIS = 50;

	private final EventLoop loop;

	private final PeerNotifier notifier;

	private final Ticker ticker;

	private final QuarantineRecorder recorder;

	private final RunLeases leases = new RunLeases();

	private final Map<Fingerprint, DuplicateGroup> groups = new HashMap<>();

	private final Cache<Fingerprint, Boolean> harmless = CacheBuilder.newBuilder().maximumSize(MAX_HARMLESS).build();

	private final CrashEvidence evidence = new CrashEvidence();

	private final Map<Fingerprint, Suspicion> suspicions = Collections.synchronizedMap(new LinkedHashMap<>());

	PoisonRequestGuard(EventLoop loop, PeerNotifier notifier, Ticker ticker, QuarantineRecorder recorder) {
		this.loop = loop;
		this.notifier = notifier;
		this.ticker = ticker;
		this.recorder = recorder;
	}

	// May be called from any thread.
	Optional<Suspicion> find(Fingerprint fingerprint) {
		return Optional.ofNullable(this.suspicions.get(fingerprint));
	}

	long countQuarantined() {
		synchronized (this.suspicions) {
			return this.suspicions.values().stream().filter(Suspicion::quarantined).count();
		}
	}

	// Admits a request: calls OnlineStream#proceed, now or later, or refuses the
	// request by OnlineStream#onQuarantined.
	void admit(OnlineStream stream) {
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		Suspicion suspicion = this.suspicions.get(fingerprint);
		if (suspicion != null && suspicion.quarantined()) {
			stream.onQuarantined(suspicion);
			return;
		}
		Optional<Quarantine> quarantine = this.evidence.findQuarantine(stream.getRequest().getSuspects());
		if (quarantine.isPresent()) {
			stream.onQuarantined(new Suspicion(Set.of(), true, quarantine.get().crashes()
					+ " runners were lost while they ran requests that share parts of its prompt"));
			return;
		}
		DuplicateGroup group = this.groups.computeIfAbsent(fingerprint, DuplicateGroup::new);
		if (suspicion == null && this.harmless.getIfPresent(fingerprint) != null) {
			group.running.add(stream);
			stream.proceed(false);
			return;
		}
		if (group.leader != null || !group.running.isEmpty()) {
			group.waiting.add(stream);
			return;
		}
		makeLeader(group, stream);
	}

	// Records that a request completed and admits its duplicates.
	void succeeded(OnlineStream stream) {
		DuplicateGroup group = remove(stream);
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		this.harmless.put(fingerprint, Boolean.TRUE);
		this.evidence.recordServed(stream.getRequest().getSuspects(), this.ticker.wallMillis())
			.forEach(this::tellCrash);
		if (this.suspicions.containsKey(fingerprint) && stream.isIsolated()) {
			this.suspicions.remove(fingerprint);
			LOG.log(OnlineEvent.CLEARED, fingerprint);
			this.notifier.broadcast(SuspectStep.SUSPECT_CLEARED,
					QuarantineAdded.newBuilder().setFingerprint(fingerprint.value()).build());
		}
		admitWaiting(group);
	}

	// Records that a request ended without completing and will not run again.
	void abandoned(OnlineStream stream) {
		DuplicateGroup group = remove(stream);
		if (group != null && group.leader == null && group.running.isEmpty() && !group.waiting.isEmpty()) {
			makeLeader(group, group.waiting.poll());
		}
	}

	// Records the crash of a runner with a request in flight. Afterwards the request
	// may be admitted again.
	void runnerCrashed(OnlineStream stream, String upstream) {
		// The coordinator must receive the crash before the lease is released,
		// because it reports the crash to the next host that requests the lease.
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		DuplicateGroup group = this.groups.get(fingerprint);
		if (group != null) {
			group.running.remove(stream);
		}
		reportCrash(fingerprint, upstream);
		if (!stream.getRequest().sharedParts().isEmpty()) {
			reportSuspects(stream, UpstreamIncarnation.of(upstream));
		}
		remove(stream);
	}

	// Applies what another host or the control stream tells of a crash.
	void applyCrash(CrashNotice notice) {
		this.evidence.add(CrashReport.of(notice), this.ticker.wallMillis());
	}

	void expireCrashes() {
		this.evidence.expire(this.ticker.wallMillis());
	}

	// A request with output is not what crashed its runner.
	private void reportSuspects(OnlineStream stream, UpstreamIncarnation upstream) {
		long now = this.ticker.wallMillis();
		List<Fingerprint> suspects = stream.getRequest().getSuspects();
		CrashReport report = stream.hasOutput() ? CrashReport.ofCleared(upstream, now, suspects)
				: this.evidence.createReport(upstream, suspects, now);
		if (this.evidence.add(report, now)) {
			tellCrash(report);
		}
	}

	private void tellCrash(CrashReport report) {
		CrashNotice notice = report.toNotice();
		this.notifier.broadcastCrash(notice);
		this.recorder.record(LogEntry.newBuilder().setCrashNotice(notice).build()).subscribe().with((done) -> {
		}, (failure) -> LOG.log(OnlineEvent.QUARANTINE_NOT_RECORDED, failure, report.upstream()));
	}

	// Records a crash with a fingerprint in flight and notifies the other hosts. A
	// new quarantine is also written to the control stream.
	void reportCrash(Fingerprint fingerprint, String upstream) {
		Suspicion before = this.suspicions.get(fingerprint);
		Suspicion after = merge(fingerprint, Suspicion.first(upstream));
		QuarantineAdded body = QuarantineAdded.newBuilder()
			.setFingerprint(fingerprint.value())
			.setReason(after.reason())
			.setWallTimeMs(this.ticker.wallMillis())
			.addAllCrashedUpstreams(after.crashed())
			.build();
		this.notifier.broadcast(SuspectStep.SUSPECT_CRASHED, body);
		if (after.quarantined() && (before == null || !before.quarantined())) {
			this.recorder.record(LogEntry.newBuilder().setQuarantineAdded(body).build()).subscribe().with((done) -> {
			}, (failure) -> LOG.log(OnlineEvent.QUARANTINE_NOT_RECORDED, failure, fingerprint));
		}
	}

	// Applies a notice of another host or a quarantine recorded in the control
	// stream.
	void applyNotice(QuarantineAdded added, boolean recorded) {
		boolean quarantined = recorded || added.getCrashedUpstreamsCount() >= Suspicion.CRASHES_TO_QUARANTINE;
		merge(Fingerprint.of(added.getFingerprint()),
				new Suspicion(Set.copyOf(added.getCrashedUpstreamsList()), quarantined, added.getReason()));
	}

	// Clears a fingerprint whose quarantine was lifted or that proved harmless.
	void lift(Fingerprint fingerprint) {
		this.suspicions.remove(fingerprint);
		this.harmless.put(fingerprint, Boolean.TRUE);
		DuplicateGroup group = this.groups.get(fingerprint);
		if (group == null) {
			return;
		}
		List<OnlineStream> duplicates = new ArrayList<>(group.waiting);
		group.waiting.clear();
		if (group.leader != null && group.leader.isAwaitingAdmission()) {
			duplicates.add(group.leader);
			remove(group.leader);
		}
		duplicates.forEach(this::admit);
	}

	boolean grantLease(Fingerprint fingerprint, HostId from, long leaseMillis) {
		return this.leases.tryAcquire(fingerprint, from, leaseMillis, this.ticker.millis());
	}

	// Returns the known crashes of a fingerprint, for the reply to a request for its
	// lease.
	QuarantineAdded describe(Fingerprint fingerprint) {
		Suspicion suspicion = this.suspicions.get(fingerprint);
		QuarantineAdded.Builder body = QuarantineAdded.newBuilder().setFingerprint(fingerprint.value());
		return (suspicion != null)
				? body.setReason(suspicion.reason()).addAllCrashedUpstreams(suspicion.crashed()).build() : body.build();
	}

	void releaseLease(Fingerprint fingerprint, HostId from) {
		this.leases.release(fingerprint, from);
	}

	private Suspicion merge(Fingerprint fingerprint, Suspicion added) {
		Suspicion before = this.suspicions.get(fingerprint);
		// A merge with itself derives the quarantine and its reason from the crashes.
		Suspicion after = (before != null) ? before.plus(added) : added.plus(added);
		if (after.equals(before)) {
			return after;
		}
		this.harmless.invalidate(fingerprint);
		this.suspicions.put(fingerprint, after);
		if (this.suspicions.size() > MAX_SUSPICIONS) {
			this.suspicions.remove(this.suspicions.keySet().iterator().next());
		}
		if (after.quarantined() && (before == null || !before.quarantined())) {
			LOG.log(OnlineEvent.QUARANTINED, fingerprint, after.reason());
		}
		else if (!after.quarantined()) {
			LOG.log(OnlineEvent.SUSPECTED, fingerprint, after.crashed());
		}
		stopDuplicates(fingerprint, after);
		return after;
	}

	// Stops the duplicates in flight on this host; they wait or are refused.
	private void stopDuplicates(Fingerprint fingerprint, Suspicion suspicion) {
		DuplicateGroup group = this.groups.get(fingerprint);
		if (group == null) {
			return;
		}
		List<OnlineStream> duplicates = new ArrayList<>(group.running);
		duplicates.addAll(group.waiting);
		if (group.leader != null && group.leader.isAwaitingAdmission()) {
			duplicates.add(group.leader);
		}
		if (suspicion.quarantined()) {
			group.waiting.clear();
			duplicates.forEach((duplicate) -> duplicate.onQuarantined(suspicion));
			return;
		}
		for (OnlineStream duplicate : List.copyOf(group.running)) {
			if (!duplicate.isIsolated() && duplicate.suspend()) {
				remove(duplicate);
				admit(duplicate);
			}
		}
	}

	private void makeLeader(DuplicateGroup group, OnlineStream stream) {
		group.leader = stream;
		requestLease(group, stream);
	}

	private void requestLease(DuplicateGroup group, OnlineStream stream) {
		HostId coordinator = this.notifier.coordinatorOf(group.fingerprint);
		long lease = Math.max(1, stream.getRemainingMillis() + 1000);
		if (coordinator.equals(this.notifier.getSelf())) {
			onLeaseReply(group, stream, grantLease(group.fingerprint, coordinator, lease));
			return;
		}
		group.coordinator = coordinator;
		this.notifier.requestLease(coordinator, group.fingerprint, lease,
				!this.suspicions.containsKey(group.fingerprint), (granted, details) -> this.loop.execute(() -> {
					if (details.getCrashedUpstreamsCount() > 0) {
						applyNotice(details, false);
					}
					onLeaseReply(group, stream, granted);
				}));
	}

	private void onLeaseReply(DuplicateGroup group, OnlineStream stream, boolean granted) {
		if (group.leader != stream || stream.isDone()) {
			return;
		}
		if (granted) {
			group.running.add(stream);
			stream.proceed(this.suspicions.containsKey(group.fingerprint));
			return;
		}
		this.loop.schedule(LEASE_RETRY_MILLIS, () -> retryLease(group, stream));
	}

	private void retryLease(DuplicateGroup group, OnlineStream stream) {
		if (group.leader == stream && !stream.isDone()) {
			requestLease(group, stream);
		}
	}

	private DuplicateGroup remove(OnlineStream stream) {
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		DuplicateGroup group = this.groups.get(fingerprint);
		if (group == null) {
			return null;
		}
		group.running.remove(stream);
		group.waiting.remove(stream);
		if (group.leader == stream) {
			group.leader = null;
			HostId coordinator = (group.coordinator != null) ? group.coordinator : this.notifier.getSelf();
			if (coordinator.equals(this.notifier.getSelf())) {
				releaseLease(fingerprint, coordinator);
			}
			else {
				this.notifier.sendNotice(coordinator, SuspectStep.SUSPECT_RUN_ENDED, fingerprint);
			}
		}
		if (group.isEmpty()) {
			this.groups.remove(fingerprint, group);
		}
		return group;
	}

	private void admitWaiting(DuplicateGroup group) {
		if (group == null) {
			return;
		}
		List<OnlineStream> duplicates = List.copyOf(group.waiting);
		group.waiting.clear();
		duplicates.forEach(this::admit);
	}

	// The requests in progress that have the same fingerprint.
	private static final class DuplicateGroup {

		private final Fingerprint fingerprint;

		private final Set<OnlineStream> running = new LinkedHashSet<>();

		private final Deque<OnlineStream> waiting = new ArrayDeque<>();

		private OnlineStream leader;

		private HostId coordinator;

		private DuplicateGroup(Fingerprint fingerprint) {
			this.fingerprint = fingerprint;
		}

		private boolean isEmpty() {
			return this.leader == null && this.running.isEmpty() && this.waiting.isEmpty();
		}

	}

}
