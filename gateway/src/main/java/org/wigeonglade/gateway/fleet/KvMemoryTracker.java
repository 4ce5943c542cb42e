package org.wigeonglade.gateway.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import com.google.common.primitives.Ints;
import org.wigeonglade.core.id.HostId;

/**
 * Counts the tokens of the requests in progress on each runner from all hosts: exactly
 * for this host, and as last reported for the others. A runner crashes if the requests
 * that it holds exceed its memory. Not thread-safe.
 */
public final class KvMemoryTracker {

	/**
	 * Time in milliseconds for which a request that was cancelled or has failed is still
	 * counted: its runner drops it when it notices the closed connection.
	 */
	private static final long RELEASE_DELAY_MILLIS = 100;

	/**
	 * Time in milliseconds after which the last report of a host is discarded if no newer
	 * one arrives. Longer than the lifetime of other reports, because the requests of a
	 * partitioned host go on: batch items take about 5 s.
	 */
	public static final long REPORT_LIFETIME_MILLIS = 10_000;

	private final Map<RunnerId, Long> local = new HashMap<>();

	private final Map<RunnerId, Long> remote = new HashMap<>();

	private final Map<HostId, Report> reports = new HashMap<>();

	private final Deque<Release> releases = new ArrayDeque<>();

	private long localTotal;

	/**
	 * Adds a request that this host sends.
	 * @param runner the runner, not null
	 * @param tokens the size of the request, at least 0
	 */
	public void add(RunnerId runner, long tokens) {
		addTo(this.local, runner, tokens);
		this.localTotal += tokens;
	}

	/**
	 * Removes a request that has ended.
	 * @param runner the runner, not null
	 * @param tokens the size with which it was added
	 * @param complete whether its response was received completely, so that the runner
	 * does not hold it any more
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void remove(RunnerId runner, long tokens, boolean complete, long nowMillis) {
		if (tokens == 0) {
			return;
		}
		if (complete) {
			add(runner, -tokens);
		}
		else {
			this.releases.add(new Release(runner, tokens, nowMillis + RELEASE_DELAY_MILLIS));
		}
	}

	/**
	 * Replaces the report of another host, unless it is older than the last one.
	 * @param host the other host, not null
	 * @param incarnation the incarnation of the host, which increases with each start
	 * @param sequence the number of the report, which increases within an incarnation
	 * @param tokens the tokens by runner, not null; negative numbers count as 0
	 * @param nowMillis the monotonic time of receipt in milliseconds
	 */
	public void applyReport(HostId host, long incarnation, long sequence, Map<RunnerId, Integer> tokens,
			long nowMillis) {
		Report last = this.reports.get(host);
		if ((last == null && tokens.isEmpty()) || (last != null && !last.isBefore(incarnation, sequence))) {
			return;
		}
		if (last != null && last.tokens().isEmpty() && tokens.isEmpty()) {
			this.reports.put(host, new Report(incarnation, sequence, last.tokens(), nowMillis));
			return;
		}
		discard(host);
		Map<RunnerId, Long> counts = new HashMap<>();
		tokens.forEach((runner, count) -> counts.put(runner, (long) Math.max(0, count)));
		counts.forEach((runner, count) -> addTo(this.remote, runner, count));
		this.reports.put(host, new Report(incarnation, sequence, counts, nowMillis));
	}

	/**
	 * Applies changes to the last report of another host, unless they are older or of
	 * another incarnation.
	 * @param host the other host, not null
	 * @param incarnation the incarnation of the host
	 * @param sequence the number of the newest change
	 * @param changes the tokens of the runners that have changed, not null
	 * @param nowMillis the monotonic time of receipt in milliseconds
	 */
	public void applyChanges(HostId host, long incarnation, long sequence, Map<RunnerId, Integer> changes,
			long nowMillis) {
		Report last = this.reports.get(host);
		if (last != null && last.incarnation() != incarnation) {
			return;
		}
		Map<RunnerId, Integer> tokens = new HashMap<>();
		if (last != null) {
			last.tokens().forEach((runner, count) -> tokens.put(runner, Ints.saturatedCast(count)));
		}
		tokens.putAll(changes);
		tokens.values().removeIf((count) -> count <= 0);
		applyReport(host, incarnation, sequence, tokens, nowMillis);
	}

	/**
	 * Releases the requests that runners have dropped by now, and discards the reports
	 * that are older than {@link #REPORT_LIFETIME_MILLIS}.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if the tokens of this host have changed
	 */
	public boolean expire(long nowMillis) {
		boolean changed = false;
		while (!this.releases.isEmpty() && this.releases.peek().atMillis() <= nowMillis) {
			Release release = this.releases.poll();
			add(release.runner(), -release.tokens());
			changed = true;
		}
		Set<HostId> expired = new HashSet<>();
		this.reports.forEach((host, report) -> {
			if (nowMillis - report.receivedMillis() > REPORT_LIFETIME_MILLIS) {
				expired.add(host);
			}
		});
		expired.forEach(this::discard);
		return changed;
	}

	/**
	 * Returns the tokens of this host.
	 * @return an immutable copy by runner, without idle runners
	 */
	public Map<RunnerId, Long> getLocal() {
		return Map.copyOf(this.local);
	}

	/**
	 * Returns the tokens of this host at all runners.
	 * @return the sum
	 */
	public long getLocalTotal() {
		return this.localTotal;
	}

	/**
	 * Returns the tokens in progress at a runner from all hosts.
	 * @param runner the runner, not null
	 * @return the sum of this host and the last reports of others
	 */
	public long getTokens(RunnerId runner) {
		return this.local.getOrDefault(runner, 0L) + this.remote.getOrDefault(runner, 0L);
	}

	/**
	 * Returns the tokens that selected other hosts last reported.
	 * @param selected the hosts, not null
	 * @return the sums by runner, never null
	 */
	Map<RunnerId, Long> sumReports(Predicate<HostId> selected) {
		Map<RunnerId, Long> sums = new HashMap<>();
		this.reports.forEach((host, report) -> {
			if (selected.test(host)) {
				report.tokens().forEach((runner, count) -> addTo(sums, runner, count));
			}
		});
		return sums;
	}

	private void discard(HostId host) {
		Report report = this.reports.remove(host);
		if (report != null) {
			report.tokens().forEach((runner, count) -> addTo(this.remote, runner, -count));
		}
	}

	private static void addTo(Map<RunnerId, Long> counts, RunnerId runner, long tokens) {
		if (tokens != 0) {
			counts.merge(runner, tokens, (a, b) -> (a + b != 0) ? a + b : null);
		}
	}

	private record Release(RunnerId runner, long tokens, long atMillis) {

	}

	private record Report(long incarnation, long sequence, Map<RunnerId, Long> tokens, long receivedMillis) {

		private boolean isBefore(long otherIncarnation, long otherSequence) {
			return this.incarnation < otherIncarnation
					|| (this.incarnation == otherIncarnation && this.sequence < otherSequence);
		}

	}

}
