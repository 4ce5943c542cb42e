package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.route.RoutingTable;

/**
 * Tracks the quota usage of routes, for each workspace by itself: the waiting tokens of
 * all jobs read from the stream, plus the tokens of jobs that this host has just
 * appended. Confined to the event loop.
 */
public final class RouteQuotaTracker {

	/**
	 * Time in milliseconds after which an append with unknown outcome is no longer
	 * counted. The store may still execute such an append seconds after it was sent.
	 */
	private static final long PENDING_EXPIRY_MILLIS = 10_000;

	/** Maximum age in milliseconds at which the state of jobs counts as recent. */
	private static final long MAX_RECENT_AGE_MILLIS = 1_000;

	/** Weight of the last second in the moving average of finished tokens per second. */
	private static final double RATE_WEIGHT = 0.2;

	private final JobTable jobTable;

	private final Supplier<RoutingTable> table;

	private final IntSupplier hosts;

	private final LongSupplier ageMillis;

	private final Ticker ticker;

	private final Map<JobId, Pending> pending = new HashMap<>();

	private long finishedTokens;

	private long rateSinceMillis;

	private double tokensPerSecond;

	/**
	 * Creates a tracker without pending appends.
	 * @param jobTable the state of jobs, not null
	 * @param table supplies the routing table in force, not null
	 * @param hosts supplies the number of hosts that may accept jobs, not null
	 * @param ageMillis supplies the age of the state of jobs in milliseconds, not null
	 * @param ticker the clock, not null
	 */
	public RouteQuotaTracker(JobTable jobTable, Supplier<RoutingTable> table, IntSupplier hosts, LongSupplier ageMillis,
			Ticker ticker) {
		this.jobTable = jobTable;
		this.table = table;
		this.hosts = hosts;
		this.ageMillis = ageMillis;
		this.ticker = ticker;
		this.rateSinceMillis = ticker.millis();
	}

	/**
	 * Decides whether a job is accepted under the quota.
	 * @param job the job, not null
	 * @param route the route of the job, not null
	 * @return the decision, never null
	 */
	QuotaPolicy.Decision decide(SubmittedJob job, Route route) {
		return QuotaPolicy.decide(usage(job, route), job.getTokens());
	}

	/**
	 * Estimates when a job that does not fit can be submitted again.
	 * @param job the job, not null
	 * @param route the route of the job, not null
	 * @return the delay, never null
	 */
	Duration retryAfter(SubmittedJob job, Route route) {
		updateRate();
		return QuotaPolicy.retryAfter(usage(job, route), job.getTokens(), this.tokensPerSecond);
	}

	/**
	 * Counts a job that is being appended, until its outcome is known or it expires.
	 * @param job the job, not null
	 * @param route the route of the job, not null
	 */
	void addPending(SubmittedJob job, Route route) {
		expirePending();
		this.pending.put(job.id(),
				new Pending(route.getName(), job.workspace(), job.getTokens(), this.ticker.millis()));
	}

	/**
	 * Stops counting a pending job: it was read from the stream, or was certainly not
	 * appended.
	 * @param job the job, not null
	 */
	void removePending(JobId job) {
		this.pending.remove(job);
	}

	private QuotaPolicy.Usage usage(SubmittedJob job, Route route) {
		if (route.getQuotaTokens() <= 0) {
			return new QuotaPolicy.Usage(0, 0, 0, 1, true);
		}
		expirePending();
		long own = this.pending.entrySet()
			.stream()
			.filter((p) -> p.getValue().route.equals(route.getName()) && p.getValue().workspace.equals(job.workspace())
					&& !p.getKey().equals(job.id()))
			.mapToLong((p) -> p.getValue().tokens)
			.sum();
		return new QuotaPolicy.Usage(route.getQuotaTokens(), waitingTokens(route, job.workspace()), own,
				this.hosts.getAsInt(), this.ageMillis.getAsLong() <= MAX_RECENT_AGE_MILLIS);
	}

	private void expirePending() {
		long now = this.ticker.millis();
		this.pending.values().removeIf((p) -> now - p.sinceMillis > PENDING_EXPIRY_MILLIS);
	}

	private long waitingTokens(Route route, Optional<WorkspaceId> workspace) {
		RoutingTable current = this.table.get();
		long sum = 0;
		for (Job job : this.jobTable.getJobs()) {
			if (!job.isDone() && job.getWorkspace().equals(workspace)
					&& current.find(job.getHostName(), job.getPath())
						.filter((r) -> r.getName().equals(route.getName()))
						.isPresent()) {
				sum += job.getOpenTokens();
			}
		}
		return sum;
	}

	private void updateRate() {
		long now = this.ticker.millis();
		double seconds = (now - this.rateSinceMillis) / 1_000.0;
		if (seconds >= 1) {
			long finished = this.jobTable.getFinishedTokens();
			double latest = (finished - this.finishedTokens) / seconds;
			double retained = Math.pow(1 - RATE_WEIGHT, seconds);
			this.tokensPerSecond = (this.tokensPerSecond > 0)
					? this.tokensPerSecond * retained + latest * (1 - retained) : latest;
			this.finishedTokens = finished;
			this.rateSinceMillis = now;
		}
	}

	private record Pending(String route, Optional<WorkspaceId> workspace, long tokens, long sinceMillis) {

	}

}
