package org.wigeonglade.core.retry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.UpstreamIncarnation;

/**
 * Finds what crashes upstreams among the requests that were in progress when they
 * crashed, and quarantines it. Each crash is attributed to the suspects that explain the
 * most crashes, so that requests which only happened to run on the same upstreams are not
 * quarantined. Suspects that explain the same crashes cannot be told apart; only requests
 * that contain all of them are refused, and the others show which of them is the cause.
 * Reports merge in any order, so hosts that exchange them come to the same verdict. Not
 * thread-safe.
 */
public final class CrashEvidence {

	/** Number of crashes that a suspect must explain to be quarantined. */
	static final int QUARANTINE_CRASHES = 3;

	/**
	 * Time in milliseconds after which a crash is no longer held against a suspect. Until
	 * then the defect of an upstream may have been repaired.
	 */
	static final long RETENTION_MILLIS = 3_600_000;

	/**
	 * Time in milliseconds after which crashes are no longer held against a suspect that
	 * had been served before. Until it is confirmed, a crash is not held against it at
	 * all, since connections may also be lost without a crash. While all upstreams fail
	 * for another reason, such a suspect may stand in many requests and cannot be cleared
	 * by a served one. Upstreams are back within seconds, and what is refused until the
	 * end of this time is lost for its callers.
	 */
	static final long PROVEN_RETENTION_MILLIS = 5_000;

	/**
	 * Factor on that time after each crash that follows its end, until something with the
	 * suspect is served.
	 */
	static final int PROVEN_RETENTION_GROWTH = 4;

	/** Number of crashes that are remembered; the oldest ones are dropped. */
	static final int MAX_CRASHES = 512;

	/** Number of fingerprints that are remembered as served. */
	static final int MAX_SERVED = 4_096;

	private final Map<UpstreamIncarnation, CrashReport> reports = new LinkedHashMap<>();

	private final Map<UpstreamIncarnation, Long> addedMillis = new HashMap<>();

	private final Map<Fingerprint, Boolean> served = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, Boolean> eldest) {
			return size() > MAX_SERVED;
		}
	};

	private Set<Fingerprint> reportedProven = Set.of();

	private Set<Quarantine> quarantines = Set.of();

	/**
	 * Creates a report of the crash of an upstream, which tells what is known to have
	 * been served before. Hosts that start later cannot know it otherwise.
	 * @param upstream the upstream, not null
	 * @param suspects the fingerprints of a request that was in progress and of its
	 * parts, not null
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @return the report, which is not added; never null
	 */
	public CrashReport createReport(UpstreamIncarnation upstream, Collection<Fingerprint> suspects, long nowMillis) {
		return CrashReport.ofSuspects(upstream, nowMillis, suspects).withProven(findProven(suspects));
	}

	/**
	 * Adds a report.
	 * @param report the report, not null
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @return true if it told something new
	 */
	public boolean add(CrashReport report, long nowMillis) {
		CrashReport before = this.reports.get(report.upstream());
		CrashReport after = (before != null) ? before.plus(report) : report;
		if (after.equals(before)) {
			return false;
		}
		this.reports.put(report.upstream(), after);
		this.addedMillis.putIfAbsent(report.upstream(), nowMillis);
		if (this.reports.size() > MAX_CRASHES) {
			UpstreamIncarnation eldest = this.reports.keySet().iterator().next();
			this.reports.remove(eldest);
			this.addedMillis.remove(eldest);
		}
		update(nowMillis);
		return true;
	}

	/**
	 * Records that an upstream was unreachable, which confirms its crash.
	 * @param upstream the upstream, not null
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @return the report to be told to the other hosts, empty if no crash of the upstream
	 * was reported or it was confirmed before
	 */
	public Optional<CrashReport> recordUnreachable(UpstreamIncarnation upstream, long nowMillis) {
		Optional<CrashReport> confirmed = find(upstream).filter((report) -> !report.confirmed())
			.map(CrashReport::withConfirmed);
		confirmed.ifPresent((report) -> add(report, nowMillis));
		return confirmed;
	}

	/**
	 * Records that an upstream served a request that was sent to it after its supposed
	 * crash, which refutes the crash.
	 * @param upstream the upstream, not null
	 * @param sentMillis the time at which the request was sent, in milliseconds since the
	 * epoch
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @return the report to be told to the other hosts, empty if no crash was refuted
	 */
	public Optional<CrashReport> recordSurvived(UpstreamIncarnation upstream, long sentMillis, long nowMillis) {
		Optional<CrashReport> survived = find(upstream)
			.filter((report) -> !report.survived() && sentMillis > this.addedMillis.get(upstream))
			.map(CrashReport::withSurvived);
		survived.ifPresent((report) -> add(report, nowMillis));
		return survived;
	}

	/**
	 * Records that a request was served, which clears what it contains from the crashes
	 * known so far.
	 * @param contents the fingerprints of the request and its parts, not null
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @return the reports of the crashes from which something was cleared, to be told to
	 * the other hosts; empty if nothing was suspected
	 */
	public List<CrashReport> recordServed(Collection<Fingerprint> contents, long nowMillis) {
		contents.forEach((fingerprint) -> this.served.put(fingerprint, Boolean.TRUE));
		List<CrashReport> changed = new ArrayList<>();
		for (CrashReport report : this.reports.values()) {
			List<Fingerprint> cleared = contents.stream()
				.filter((f) -> report.suspects().contains(f) && !report.cleared().contains(f))
				.toList();
			if (!cleared.isEmpty()) {
				changed.add(CrashReport.ofCleared(report.upstream(), report.reportedMillis(), cleared));
			}
		}
		changed.forEach((report) -> add(report, nowMillis));
		return changed;
	}

	/**
	 * Returns the quarantine of a request.
	 * @param contents the fingerprints of the request and its parts, not null
	 * @return the quarantine, empty if the request may run
	 */
	public Optional<Quarantine> findQuarantine(Collection<Fingerprint> contents) {
		return this.quarantines.stream().filter((q) -> contents.containsAll(q.fingerprints())).findFirst();
	}

	/**
	 * Returns all quarantines.
	 * @return an immutable set, never null
	 */
	public Set<Quarantine> getQuarantines() {
		return this.quarantines;
	}

	/**
	 * Returns which fingerprints are known to have been served.
	 * @param fingerprints the fingerprints, not null
	 * @return those that were served, never null
	 */
	public Set<Fingerprint> findProven(Collection<Fingerprint> fingerprints) {
		return fingerprints.stream().filter(this::isProven).collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns all reports.
	 * @return an immutable copy in the order of their arrival, never null
	 */
	public List<CrashReport> getReports() {
		return List.copyOf(this.reports.values());
	}

	/**
	 * Drops the crashes whose retention is over.
	 * @param nowMillis the present time in milliseconds since the epoch
	 */
	public void expire(long nowMillis) {
		if (!this.reports.isEmpty()) {
			this.reports.values().removeIf((report) -> isExpired(report, nowMillis));
			this.addedMillis.keySet().retainAll(this.reports.keySet());
			update(nowMillis);
		}
	}

	/**
	 * Returns whether a report no longer counts.
	 * @param report the report, not null
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @return true after the retention time
	 */
	public static boolean isExpired(CrashReport report, long nowMillis) {
		return nowMillis - report.reportedMillis() > RETENTION_MILLIS;
	}

	private Optional<CrashReport> find(UpstreamIncarnation upstream) {
		return Optional.ofNullable(this.reports.get(upstream));
	}

	// Greedy set cover: the suspects that explain the most crashes take them from the
	// others.
	private void update(long nowMillis) {
		this.reportedProven = this.reports.values()
			.stream()
			.flatMap((report) -> report.proven().stream())
			.collect(Collectors.toUnmodifiableSet());
		Map<Fingerprint, Set<UpstreamIncarnation>> unexplained = new HashMap<>();
		findCrashes().forEach((suspect, crashes) -> {
			if (!isProven(suspect) || !isReleased(crashes, nowMillis)) {
				unexplained.put(suspect,
						crashes.stream().map(CrashReport::upstream).collect(Collectors.toCollection(HashSet::new)));
			}
		});
		Set<Quarantine> verdicts = new HashSet<>();
		Optional<Fingerprint> best = findBest(unexplained);
		while (best.isPresent()) {
			Set<UpstreamIncarnation> explained = Set.copyOf(unexplained.get(best.get()));
			Set<Fingerprint> indistinguishable = unexplained.keySet()
				.stream()
				.filter((suspect) -> unexplained.get(suspect).equals(explained))
				.collect(Collectors.toUnmodifiableSet());
			verdicts.add(new Quarantine(indistinguishable, explained.size()));
			unexplained.values().forEach((crashes) -> crashes.removeAll(explained));
			best = findBest(unexplained);
		}
		this.quarantines = Set.copyOf(verdicts);
	}

	private Map<Fingerprint, List<CrashReport>> findCrashes() {
		Map<Fingerprint, List<CrashReport>> crashes = new HashMap<>();
		for (CrashReport report : this.reports.values()) {
			for (Fingerprint suspect : report.suspects()) {
				boolean cleared = report.survived() || report.cleared().contains(suspect);
				if (!cleared && (report.confirmed() || !isProven(suspect))) {
					crashes.computeIfAbsent(suspect, (s) -> new ArrayList<>()).add(report);
				}
			}
		}
		return crashes;
	}

	private static boolean isReleased(List<CrashReport> crashes, long nowMillis) {
		long[] times = crashes.stream().mapToLong(CrashReport::reportedMillis).sorted().toArray();
		long retention = PROVEN_RETENTION_MILLIS;
		for (int i = 1; i < times.length; i++) {
			if (times[i] - times[i - 1] > PROVEN_RETENTION_MILLIS) {
				retention = Math.min(PROVEN_RETENTION_GROWTH * retention, RETENTION_MILLIS);
			}
		}
		return nowMillis - times[times.length - 1] > retention;
	}

	private boolean isProven(Fingerprint fingerprint) {
		return this.served.containsKey(fingerprint) || this.reportedProven.contains(fingerprint);
	}

	private Optional<Fingerprint> findBest(Map<Fingerprint, Set<UpstreamIncarnation>> unexplained) {
		return unexplained.keySet()
			.stream()
			.filter((suspect) -> unexplained.get(suspect).size() >= QUARANTINE_CRASHES)
			.max(Comparator.<Fingerprint, Boolean>comparing((suspect) -> !isProven(suspect))
				.thenComparing((suspect) -> unexplained.get(suspect).size())
				.thenComparing(Comparator.naturalOrder()));
	}

}
