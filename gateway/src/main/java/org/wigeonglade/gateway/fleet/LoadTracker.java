package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.id.HostId;

/**
 * Counts the requests in progress on each runner from all hosts: exactly for this host,
 * and as last reported for the others. Without the counts of the other hosts, placements
 * that are balanced on each host by itself could together overload one runner. Not
 * thread-safe.
 */
public final class LoadTracker {

	/**
	 * Time in milliseconds after which the last report of a host is discarded if no newer
	 * one arrives: six heartbeat intervals.
	 */
	public static final long REPORT_LIFETIME_MILLIS = 1_500;

	private final Map<RunnerId, Load> localLoads = new HashMap<>();

	private final Map<RunnerId, Load> peerLoads = new HashMap<>();

	private final Map<HostId, Report> reports = new HashMap<>();

	/**
	 * Changes the number of requests that this host has in progress on a runner.
	 * @param runner the runner, not null
	 * @param online the change in online requests, may be negative
	 * @param batch the change in batch items, may be negative
	 */
	public void add(RunnerId runner, int online, int batch) {
		addTo(this.localLoads, runner, online, batch);
	}

	/**
	 * Returns the requests that this host has in progress.
	 * @return an immutable copy of the counts by runner, without idle runners
	 */
	public Map<RunnerId, Load> getLocalLoads() {
		return Map.copyOf(this.localLoads);
	}

	/**
	 * Replaces the report of another host. A report that is not newer than the last one,
	 * for instance because datagrams were reordered, is dropped.
	 * @param host the other host, not null
	 * @param report its counts, not null
	 * @return true if the report was applied
	 */
	public boolean applyReport(HostId host, Report report) {
		Report last = this.reports.get(host);
		if (last != null && !report.isNewerThan(last)) {
			return false;
		}
		if (last != null && last.loads.equals(report.loads)) {
			this.reports.put(host, report);
			return true;
		}
		if (last != null) {
			last.loads.forEach((runner, load) -> addTo(this.peerLoads, runner, -load.online(), -load.batch()));
		}
		report.loads.forEach((runner, load) -> addTo(this.peerLoads, runner, load.online(), load.batch()));
		this.reports.put(host, report);
		return true;
	}

	/**
	 * Applies changes of the load of another host to its last report. Changes that are
	 * not newer than the last report, or of another incarnation, are dropped.
	 * @param host the other host, not null
	 * @param changes the loads of the runners that have changed, not null
	 * @return true if the changes were applied
	 */
	public boolean applyChanges(HostId host, Report changes) {
		Report last = this.reports.get(host);
		if (last == null || last.incarnation != changes.incarnation || !changes.isNewerThan(last)) {
			return false;
		}
		Map<RunnerId, Load> loads = new HashMap<>(last.loads);
		changes.loads.forEach((runner, load) -> {
			if (load.equals(Load.NONE)) {
				loads.remove(runner);
			}
			else {
				loads.put(runner, load);
			}
		});
		return applyReport(host, new Report(changes.incarnation, changes.sequence, changes.receivedMillis, loads));
	}

	/**
	 * Discards the reports that are older than {@link #REPORT_LIFETIME_MILLIS}.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void expire(long nowMillis) {
		List<HostId> expired = new ArrayList<>();
		this.reports.forEach((host, report) -> {
			if (nowMillis - report.receivedMillis > REPORT_LIFETIME_MILLIS) {
				expired.add(host);
			}
		});
		for (HostId host : expired) {
			this.reports.remove(host).loads
				.forEach((runner, load) -> addTo(this.peerLoads, runner, -load.online(), -load.batch()));
		}
	}

	/**
	 * Returns the load of a runner from all hosts.
	 * @param runner the runner, not null
	 * @return the load, {@link Load#NONE} for an idle runner, never null
	 */
	public Load getLoad(RunnerId runner) {
		return this.localLoads.getOrDefault(runner, Load.NONE).plus(this.peerLoads.getOrDefault(runner, Load.NONE));
	}

	/**
	 * Returns the age of the oldest report that has not been discarded.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the age in milliseconds, 0 if there is no report
	 */
	public long getOldestReportAge(long nowMillis) {
		return this.reports.values().stream().mapToLong((r) -> nowMillis - r.receivedMillis).max().orElse(0);
	}

	/**
	 * Returns the other host with the most batch items in progress on a runner.
	 * @param runner the runner, not null
	 * @return the host, or null if no other host has any
	 */
	public HostId findHostWithMostBatchItems(RunnerId runner) {
		HostId host = null;
		int most = 0;
		for (Map.Entry<HostId, Report> entry : this.reports.entrySet()) {
			int batch = entry.getValue().loads.getOrDefault(runner, Load.NONE).batch();
			if (batch > most) {
				most = batch;
				host = entry.getKey();
			}
		}
		return host;
	}

	/**
	 * Subtracts a batch item from the report of a host that was asked to preempt it, so
	 * that the same slot is not requested twice before the next report.
	 * @param host the other host, not null
	 * @param runner the runner, not null
	 */
	public void recordPreemptionRequest(HostId host, RunnerId runner) {
		Report last = this.reports.get(host);
		Load load = (last != null) ? last.loads.get(runner) : null;
		if (load != null && load.batch() > 0) {
			addTo(last.loads, runner, 0, -1);
			addTo(this.peerLoads, runner, 0, -1);
		}
	}

	private static void addTo(Map<RunnerId, Load> loads, RunnerId runner, int online, int batch) {
		Load sum = loads.getOrDefault(runner, Load.NONE).plus(new Load(online, batch));
		if (sum.equals(Load.NONE)) {
			loads.remove(runner);
		}
		else {
			loads.put(runner, sum);
		}
	}

	/**
	 * The requests in progress on one runner, or the change of them.
	 *
	 * @param online the number of online requests
	 * @param batch the number of batch items
	 */
	public record Load(int online, int batch) {

		/** The load of an idle runner. */
		public static final Load NONE = new Load(0, 0);

		Load plus(Load other) {
			return new Load(this.online + other.online, this.batch + other.batch);
		}

		/**
		 * Returns the number of online requests and batch items.
		 * @return the sum
		 */
		public int getTotal() {
			return this.online + this.batch;
		}

		// The methods that are generated for records are linked at run time, which is
		// slow in a process that has just started.
		@Override
		public boolean equals(Object other) {
			return other instanceof Load that && this.online == that.online && this.batch == that.batch;
		}

		@Override
		public int hashCode() {
			return 31 * this.online + this.batch;
		}

	}

	/**
	 * The requests in progress of another host, as of one datagram.
	 */
	public static final class Report {

		private final long incarnation;

		private final long sequence;

		private final long receivedMillis;

		private final Map<RunnerId, Load> loads;

		/**
		 * Creates a report.
		 * @param incarnation the incarnation of the host, which increases with each start
		 * @param sequence the number of the report, which increases with each report of
		 * an incarnation
		 * @param receivedMillis the monotonic time of receipt in milliseconds
		 * @param loads the counts by runner, not null
		 */
		public Report(long incarnation, long sequence, long receivedMillis, Map<RunnerId, Load> loads) {
			this.incarnation = incarnation;
			this.sequence = sequence;
			this.receivedMillis = receivedMillis;
			this.loads = new HashMap<>(loads);
		}

		private boolean isNewerThan(Report other) {
			return this.incarnation > other.incarnation
					|| (this.incarnation == other.incarnation && this.sequence > other.sequence);
		}

	}

}
