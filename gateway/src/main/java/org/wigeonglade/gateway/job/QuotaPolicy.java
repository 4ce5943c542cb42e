package org.wigeonglade.gateway.job;

import java.time.Duration;

/**
 * Admission control of jobs under the quota of a route. Near the limit, many hosts may
 * accept jobs at once, each of which would fit by itself but not all together. Therefore,
 * a host appends unconditionally only within its share of the remaining capacity; beyond
 * that share, it appends on the condition that the stream has not grown since it was
 * read. Stateless.
 */
final class QuotaPolicy {

	/**
	 * Fraction of the remaining capacity that all hosts together may fill by
	 * unconditional appends. The rest covers jobs that were appended after the hosts last
	 * read the stream.
	 */
	private static final double UNCONDITIONAL_SHARE = 0.5;

	/**
	 * Minimum retry delay in milliseconds, since results are appended several times a
	 * second.
	 */
	private static final long SHORTEST_RETRY_MILLIS = 250;

	/** Maximum retry delay in milliseconds, since jobs may end at any moment. */
	private static final long LONGEST_RETRY_MILLIS = 10_000;

	private QuotaPolicy() {
	}

	/**
	 * Decides whether and how a job is appended.
	 * @param usage the usage of the route as this host sees it, not null
	 * @param jobTokens the number of tokens of the job
	 * @return the decision, never null
	 */
	static Decision decide(Usage usage, long jobTokens) {
		if (usage.quota() <= 0) {
			return Decision.APPEND;
		}
		if (!usage.recent()) {
			return Decision.APPEND_IF_UNCHANGED;
		}
		long capacity = usage.quota() - usage.waitingTokens();
		if (usage.pendingTokens() + jobTokens > capacity) {
			return Decision.REFUSE;
		}
		double share = capacity * UNCONDITIONAL_SHARE / Math.max(1, usage.hosts());
		return (usage.pendingTokens() + jobTokens <= share) ? Decision.APPEND : Decision.APPEND_IF_UNCHANGED;
	}

	/**
	 * Estimates when a refused job will fit.
	 * @param usage the usage of the route as this host sees it, not null
	 * @param jobTokens the number of tokens of the job
	 * @param tokensPerSecond the rate at which waiting tokens are finished; 0 if unknown
	 * @return the delay before the next try, never null
	 */
	static Duration retryAfter(Usage usage, long jobTokens, double tokensPerSecond) {
		long excess = usage.waitingTokens() + usage.pendingTokens() + jobTokens - usage.quota();
		double millis = (tokensPerSecond > 0) ? 1_000 * excess / tokensPerSecond : LONGEST_RETRY_MILLIS;
		return Duration.ofMillis(Math.round(Math.max(SHORTEST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, millis))));
	}

	/**
	 * Admission decision for a job.
	 */
	enum Decision {

		/** The job fits: append it unconditionally. */
		APPEND,

		/**
		 * The job fits unless another host uses the capacity meanwhile, or has done so
		 * since the stream was read: append it on the condition that the stream has not
		 * grown.
		 */
		APPEND_IF_UNCHANGED,

		/** The job does not fit. */
		REFUSE

	}

	/**
	 * Usage of a route as a host sees it.
	 *
	 * @param quota the maximum number of tokens that may wait on the route, 0 for no
	 * limit
	 * @param waitingTokens the tokens of accepted items without a result, except those of
	 * ended jobs
	 * @param pendingTokens the tokens of jobs that this host has appended but not yet
	 * read back from the stream
	 * @param hosts the number of hosts that may accept jobs, including unresponsive ones
	 * @param recent whether the stream has been read recently; a host that has just
	 * started has found neither jobs nor other hosts
	 */
	record Usage(long quota, long waitingTokens, long pendingTokens, int hosts, boolean recent) {

	}

}
