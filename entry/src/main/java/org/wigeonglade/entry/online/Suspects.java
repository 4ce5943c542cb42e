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
import org.wigeonglade.core.retry.Suspicion;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.log.QuarantineAdded;
import org.wigeonglade.schema.generated.peer.SuspectStep;

/**
 * Decides which requests may run at all and which must run alone. Runs on one event loop.
 * <p>
 * A fingerprint that has never been answered in full on this host is in flight at most
 * once at a time, here and, as far as notices reach, in the fleet: copies wait for the
 * outcome of the first. Without this a poison request that many callers send at the same
 * time would crash a runner for each copy.
 */
final class Suspects {

	private static final EventLogger LOG = EventLogger.of(Suspects.class);

	/** Fingerprints that are remembered as harmless. */
	private static final int HARMLESS_SIZE = 20_000;

	/** Fingerprints that are remembered as suspected or quarantined. */
	private static final int KNOWN_SIZE = 20_000;

	/** Time between two requests for leave to run, in milliseconds. */
	private static final long ASK_AGAIN_MILLIS = 50;

	private final EventLoop loop;

	private final HostLinks links;

	private final Ticker ticker;

	private final QuarantineRecorder recorder;

	private final RunLeases leases = new RunLeases();

	private final Map<Fingerprint, Run> runs = new HashMap<>();

	private final Cache<Fingerprint, Boolean> harmless = CacheBuilder.newBuilder().maximumSize(HARMLESS_SIZE).build();

	private final Map<Fingerprint, Suspicion> known = Collections.synchronizedMap(new LinkedHashMap<>());

	Suspects(EventLoop loop, HostLinks links, Ticker ticker, QuarantineRecorder recorder) {
		this.loop = loop;
		this.links = links;
		this.ticker = ticker;
		this.recorder = recorder;
	}

	// May be called from any thread.
	Optional<Suspicion> find(Fingerprint fingerprint) {
		return Optional.ofNullable(this.known.get(fingerprint));
	}

	long countQuarantined() {
		synchronized (this.known) {
			return this.known.values().stream().filter(Suspicion::quarantined).count();
		}
	}

	// Takes a request that wants to run. It goes on now or later by OnlineStream#proceed,
	// or is refused by
	// OnlineStream#quarantined.
	void enter(OnlineStream stream) {
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		Suspicion suspicion = this.known.get(fingerprint);
		if (suspicion != null && suspicion.quarantined()) {
			stream.quarantined(suspicion);
			return;
		}
		Run run = this.runs.computeIfAbsent(fingerprint, Run::new);
		if (suspicion == null && this.harmless.getIfPresent(fingerprint) != null) {
			run.running.add(stream);
			stream.proceed(false);
			return;
		}
		if (run.leader != null || !run.running.isEmpty()) {
			run.waiting.add(stream);
			return;
		}
		lead(run, stream);
	}

	// Takes the end of a request that was answered in full.
	void succeeded(OnlineStream stream) {
		Run run = leave(stream);
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		this.harmless.put(fingerprint, Boolean.TRUE);
		if (this.known.containsKey(fingerprint) && stream.isAlone()) {
			this.known.remove(fingerprint);
			LOG.log(OnlineEvent.CLEARED, fingerprint);
			this.links.broadcast(SuspectStep.SUSPECT_CLEARED,
					QuarantineAdded.newBuilder().setFingerprint(fingerprint.value()).build());
		}
		releaseWaiting(run);
	}

	// Takes the end of a request that was not answered and runs no more.
	void gaveUp(OnlineStream stream) {
		Run run = leave(stream);
		if (run != null && run.leader == null && run.running.isEmpty() && !run.waiting.isEmpty()) {
			lead(run, run.waiting.poll());
		}
	}

	// Takes the crash of a runner with a request in flight. Afterwards the request may
	// enter again.
	void crashed(OnlineStream stream, String upstream) {
		// The host that watches the fingerprint must know of the crash before the run
		// ends, so
		// that it tells the next host.
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		Run run = this.runs.get(fingerprint);
		if (run != null) {
			run.running.remove(stream);
		}
		report(fingerprint, upstream);
		leave(stream);
	}

	// Takes a crash with work in flight that is not an online request.
	void report(Fingerprint fingerprint, String upstream) {
		Suspicion before = this.known.get(fingerprint);
		Suspicion after = merge(fingerprint, Suspicion.first(upstream));
		QuarantineAdded body = QuarantineAdded.newBuilder()
			.setFingerprint(fingerprint.value())
			.setReason(after.reason())
			.setWallTimeMs(this.ticker.wallMillis())
			.addAllCrashedUpstreams(after.crashed())
			.build();
		this.links.broadcast(SuspectStep.SUSPECT_CRASHED, body);
		if (after.quarantined() && (before == null || !before.quarantined())) {
			this.recorder.record(body).subscribe().with((done) -> {
			}, (failure) -> LOG.log(OnlineEvent.QUARANTINE_NOT_RECORDED, failure, fingerprint));
		}
	}

	// Takes a crash with a batch item in flight; may be called from any thread.
	void reportLater(Fingerprint fingerprint, String upstream) {
		this.loop.execute(() -> report(fingerprint, upstream));
	}

	// Takes a notice or a record of the control stream.
	void learn(QuarantineAdded added, boolean recorded) {
		boolean quarantined = recorded || added.getCrashedUpstreamsCount() >= Suspicion.CRASHES_TO_QUARANTINE;
		merge(Fingerprint.of(added.getFingerprint()),
				new Suspicion(Set.copyOf(added.getCrashedUpstreamsList()), quarantined, added.getReason()));
	}

	// Takes the lifting of a quarantine or the proof that a suspect is harmless.
	void lift(Fingerprint fingerprint) {
		this.known.remove(fingerprint);
		this.harmless.put(fingerprint, Boolean.TRUE);
		Run run = this.runs.get(fingerprint);
		if (run == null) {
			return;
		}
		List<OnlineStream> copies = new ArrayList<>(run.waiting);
		run.waiting.clear();
		if (run.leader != null && run.leader.isHeld()) {
			copies.add(run.leader);
			leave(run.leader);
		}
		copies.forEach(this::enter);
	}

	boolean grantRun(Fingerprint fingerprint, HostId from, long leaseMillis) {
		return this.leases.request(fingerprint, from, leaseMillis, this.ticker.millis());
	}

	// Returns what a host that asks for leave to run a fingerprint must know of it.
	QuarantineAdded tell(Fingerprint fingerprint) {
		Suspicion suspicion = this.known.get(fingerprint);
		QuarantineAdded.Builder body = QuarantineAdded.newBuilder().setFingerprint(fingerprint.value());
		return (suspicion != null)
				? body.setReason(suspicion.reason()).addAllCrashedUpstreams(suspicion.crashed()).build() : body.build();
	}

	void endRun(Fingerprint fingerprint, HostId from) {
		this.leases.end(fingerprint, from);
	}

	private Suspicion merge(Fingerprint fingerprint, Suspicion found) {
		Suspicion before = this.known.get(fingerprint);
		Suspicion after = (before != null) ? before.plus(found) : found.plus(found);
		if (after.equals(before)) {
			return after;
		}
		this.harmless.invalidate(fingerprint);
		this.known.put(fingerprint, after);
		if (this.known.size() > KNOWN_SIZE) {
			this.known.remove(this.known.keySet().iterator().next());
		}
		if (after.quarantined() && (before == null || !before.quarantined())) {
			LOG.log(OnlineEvent.QUARANTINED, fingerprint, after.reason());
		}
		else if (!after.quarantined()) {
			LOG.log(OnlineEvent.SUSPECTED, fingerprint, after.crashed());
		}
		stopCopies(fingerprint, after);
		return after;
	}

	// Stops the copies in flight on this host; they wait or are refused.
	private void stopCopies(Fingerprint fingerprint, Suspicion suspicion) {
		Run run = this.runs.get(fingerprint);
		if (run == null) {
			return;
		}
		List<OnlineStream> copies = new ArrayList<>(run.running);
		copies.addAll(run.waiting);
		if (run.leader != null && run.leader.isHeld()) {
			copies.add(run.leader);
		}
		if (suspicion.quarantined()) {
			run.waiting.clear();
			copies.forEach((copy) -> copy.quarantined(suspicion));
			return;
		}
		for (OnlineStream copy : List.copyOf(run.running)) {
			if (!copy.isAlone() && copy.recall()) {
				leave(copy);
				enter(copy);
			}
		}
	}

	private void lead(Run run, OnlineStream stream) {
		run.leader = stream;
		ask(run, stream);
	}

	private void ask(Run run, OnlineStream stream) {
		HostId watcher = this.links.watcherOf(run.fingerprint);
		long lease = Math.max(1, stream.getRemainingMillis() + 1000);
		if (watcher.equals(this.links.getSelf())) {
			answered(run, stream, grantRun(run.fingerprint, watcher, lease));
			return;
		}
		run.watcher = watcher;
		this.links.requestRun(watcher, run.fingerprint, lease, !this.known.containsKey(run.fingerprint),
				(granted, told) -> this.loop.execute(() -> {
					if (told.getCrashedUpstreamsCount() > 0) {
						learn(told, false);
					}
					answered(run, stream, granted);
				}));
	}

	private void answered(Run run, OnlineStream stream, boolean granted) {
		if (run.leader != stream || stream.isDone()) {
			return;
		}
		if (granted) {
			run.running.add(stream);
			stream.proceed(this.known.containsKey(run.fingerprint));
			return;
		}
		this.loop.schedule(ASK_AGAIN_MILLIS, () -> askAgain(run, stream));
	}

	private void askAgain(Run run, OnlineStream stream) {
		if (run.leader == stream && !stream.isDone()) {
			ask(run, stream);
		}
	}

	private Run leave(OnlineStream stream) {
		Fingerprint fingerprint = stream.getRequest().fingerprint();
		Run run = this.runs.get(fingerprint);
		if (run == null) {
			return null;
		}
		run.running.remove(stream);
		run.waiting.remove(stream);
		if (run.leader == stream) {
			run.leader = null;
			HostId watcher = (run.watcher != null) ? run.watcher : this.links.getSelf();
			if (watcher.equals(this.links.getSelf())) {
				endRun(fingerprint, watcher);
			}
			else {
				this.links.sendNotice(watcher, SuspectStep.SUSPECT_RUN_ENDED, fingerprint);
			}
		}
		if (run.isEmpty()) {
			this.runs.remove(fingerprint, run);
		}
		return run;
	}

	private void releaseWaiting(Run run) {
		if (run == null) {
			return;
		}
		List<OnlineStream> copies = List.copyOf(run.waiting);
		run.waiting.clear();
		copies.forEach(this::enter);
	}

	private static final class Run {

		private final Fingerprint fingerprint;

		private final Set<OnlineStream> running = new LinkedHashSet<>();

		private final Deque<OnlineStream> waiting = new ArrayDeque<>();

		private OnlineStream leader;

		private HostId watcher;

		private Run(Fingerprint fingerprint) {
			this.fingerprint = fingerprint;
		}

		private boolean isEmpty() {
			return this.leader == null && this.running.isEmpty() && this.waiting.isEmpty();
		}

	}

}
