package org.wigeonglade.core.retry;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.UpstreamIncarnation;
import org.wigeonglade.schema.generated.crash.CrashNotice;

/**
 * What is known of one crash of an upstream. Immutable; merging is commutative and
 * idempotent, so that reports may arrive in any order and repeatedly.
 *
 * @param upstream the process that crashed, not null
 * @param reportedMillis the time of the first report, in milliseconds since the epoch
 * @param suspects the fingerprints of requests, and of parts of their prompts, that may
 * have caused it, not null
 * @param cleared what did not cause it, because a request with it was served, not null
 * @param confirmed whether the upstream was unreachable afterwards
 * @param survived whether the upstream served requests afterwards, so that it did not
 * crash: only its connections were lost
 * @param proven the suspects that had been served before, not null
 */
public record CrashReport(UpstreamIncarnation upstream, long reportedMillis, Set<Fingerprint> suspects,
		Set<Fingerprint> cleared, boolean confirmed, boolean survived, Set<Fingerprint> proven) {

	/**
	 * Creates the report with unmodifiable copies of the sets.
	 */
	public CrashReport {
		suspects = Set.copyOf(suspects);
		cleared = Set.copyOf(cleared);
		proven = Set.copyOf(proven);
	}

	/**
	 * Returns a report of suspects.
	 * @param upstream the process that crashed, not null
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @param suspects what may have caused it, not null
	 * @return the report, never null
	 */
	public static CrashReport ofSuspects(UpstreamIncarnation upstream, long nowMillis,
			Collection<Fingerprint> suspects) {
		return new CrashReport(upstream, nowMillis, Set.copyOf(suspects), Set.of(), false, false, Set.of());
	}

	/**
	 * Returns a report of what did not cause a crash.
	 * @param upstream the process that crashed, not null
	 * @param nowMillis the present time in milliseconds since the epoch
	 * @param cleared what did not cause it, not null
	 * @return the report, never null
	 */
	public static CrashReport ofCleared(UpstreamIncarnation upstream, long nowMillis, Collection<Fingerprint> cleared) {
		return new CrashReport(upstream, nowMillis, Set.of(), Set.copyOf(cleared), false, false, Set.of());
	}

	/**
	 * Decodes a report.
	 * @param notice the message, not null
	 * @return the report, never null
	 * @throws org.wigeonglade.core.error.InvalidRequestException if a fingerprint is
	 * malformed
	 */
	public static CrashReport of(CrashNotice notice) {
		return new CrashReport(UpstreamIncarnation.of(notice.getUpstream()), notice.getReportedAtMs(),
				fingerprints(notice.getSuspectsList()), fingerprints(notice.getClearedList()), notice.getConfirmed(),
				notice.getSurvived(), fingerprints(notice.getProvenList()));
	}

	/**
	 * Encodes this report.
	 * @return the message, never null
	 */
	public CrashNotice toNotice() {
		CrashNotice.Builder notice = CrashNotice.newBuilder()
			.setUpstream(this.upstream.value())
			.setReportedAtMs(this.reportedMillis)
			.setConfirmed(this.confirmed)
			.setSurvived(this.survived);
		this.suspects.forEach((fingerprint) -> notice.addSuspects(fingerprint.value()));
		this.cleared.forEach((fingerprint) -> notice.addCleared(fingerprint.value()));
		this.proven.forEach((fingerprint) -> notice.addProven(fingerprint.value()));
		return notice.build();
	}

	/**
	 * Returns this report for an upstream that was unreachable afterwards.
	 * @return the report, never null
	 */
	public CrashReport withConfirmed() {
		return new CrashReport(this.upstream, this.reportedMillis, this.suspects, this.cleared, true, this.survived,
				this.proven);
	}

	/**
	 * Returns this report for an upstream that served requests afterwards.
	 * @return the report, never null
	 */
	public CrashReport withSurvived() {
		return new CrashReport(this.upstream, this.reportedMillis, this.suspects, this.cleared, this.confirmed, true,
				this.proven);
	}

	/**
	 * Returns this report with suspects that had been served before the crash.
	 * @param served the suspects, not null
	 * @return the report, never null
	 */
	public CrashReport withProven(Collection<Fingerprint> served) {
		return new CrashReport(this.upstream, this.reportedMillis, this.suspects, this.cleared, this.confirmed,
				this.survived, Set.copyOf(served));
	}

	/**
	 * Merges two reports of the same crash.
	 * @param other the other report, not null
	 * @return the union of both, reported at the earlier time; never null
	 */
	public CrashReport plus(CrashReport other) {
		return new CrashReport(this.upstream, Math.min(this.reportedMillis, other.reportedMillis),
				union(this.suspects, other.suspects), union(this.cleared, other.cleared),
				this.confirmed || other.confirmed, this.survived || other.survived, union(this.proven, other.proven));
	}

	private static Set<Fingerprint> fingerprints(List<String> values) {
		return values.stream().map(Fingerprint::of).collect(Collectors.toUnmodifiableSet());
	}

	private static <T> Set<T> union(Set<T> first, Set<T> second) {
		Set<T> union = new HashSet<>(first);
		union.addAll(second);
		return union;
	}

}
