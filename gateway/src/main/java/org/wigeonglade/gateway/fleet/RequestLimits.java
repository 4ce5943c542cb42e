package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

/**
 * Rate limiters of the runners that limit the requests from all hosts together: a token
 * bucket for each, charged with the requests of this host when they are sent and with
 * those of the others when they are reported. Requests that several hosts send within the
 * lag of the reports make a debt, which later refills pay off. The more debt arises, the
 * smaller is the chance with which each host sends the next request, so that many hosts
 * do not all send when the bucket has been refilled. Not thread-safe.
 */
public final class RequestLimits {

	/** Time in seconds whose requests may be sent at once after a pause. */
	private static final double BURST_SECONDS = 2;

	/**
	 * Requests that batch items leave to online requests. They may take the others, since
	 * an item keeps a slot busy several times as long with one request.
	 */
	private static final int ONLINE_RESERVE = 1;

	/** Lower bound of the requests that may be sent at once. */
	private static final double MIN_BURST = 2;

	/**
	 * Lowest rate in requests per second that is kept to: without any request there would
	 * be no response that names another limit.
	 */
	private static final double MIN_RATE = 0.1;

	/** Time in seconds whose requests the debt of a runner may amount to. */
	private static final double MAX_DEBT_SECONDS = 8;

	/** Factor on the chance to send for each request that makes a debt. */
	private static final double CHANCE_DECREASE = 0.9;

	/** Factor on the chance to send for each refill that was not used. */
	private static final double CHANCE_INCREASE = 1.5;

	/** Time in milliseconds between two increases of the chance to send. */
	private static final long INCREASE_INTERVAL_MILLIS = 100;

	private static final double MIN_CHANCE = 0.001;

	/** Time in milliseconds for which a limit is kept without a registration. */
	private static final long UNREGISTERED_RETENTION_MILLIS = 60_000;

	private final Map<RunnerId, Limiter> limiters = new HashMap<>();

	private final RandomGenerator random;

	/**
	 * Creates the limiters, without any limit.
	 * @param random the source of random numbers, not null
	 */
	public RequestLimits(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Records whether a response of a runner names a limit.
	 * @param runner the runner, not null
	 * @param startedMillis the start of its process, in milliseconds since the epoch
	 * @param requestsPerSecond the limit, empty if the response names none
	 * @param wallMillis the time in milliseconds since the epoch
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if the limit changed
	 */
	public boolean observe(RunnerId runner, long startedMillis, OptionalDouble requestsPerSecond, long wallMillis,
			long nowMillis) {
		Limiter known = this.limiters.get(runner);
		boolean sameProcess = known != null && known.limit.startedMillis() == startedMillis;
		OptionalDouble before = sameProcess ? known.limit.requestsPerSecond() : OptionalDouble.empty();
		if (before.equals(requestsPerSecond)) {
			return false;
		}
		long observed = sameProcess ? Math.max(wallMillis, known.limit.observedMillis() + 1) : wallMillis;
		return merge(new RequestLimit(runner, startedMillis, requestsPerSecond, observed), nowMillis);
	}

	/**
	 * Applies a limit that another host observed.
	 * @param limit the limit, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if it is newer than the known one
	 */
	public boolean merge(RequestLimit limit, long nowMillis) {
		Limiter known = this.limiters.get(limit.runner());
		if (known != null && !limit.isNewerThan(known.limit)) {
			return false;
		}
		if (known == null || known.limit.startedMillis() != limit.startedMillis()) {
			this.limiters.put(limit.runner(), new Limiter(limit, nowMillis));
		}
		else {
			known.refill(nowMillis);
			known.limit = limit;
		}
		return true;
	}

	/**
	 * Records that this host sends a request.
	 * @param runner the registration of the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void recordSent(RunnerEntry runner, long nowMillis) {
		Limiter limiter = this.limiters.get(runner.id());
		if (limiter != null && limiter.appliesTo(runner)) {
			limiter.take(1, nowMillis);
			limiter.sent++;
		}
	}

	/**
	 * Records the requests that another host reports.
	 * @param host the other host and its incarnation, not null
	 * @param runner the runner, not null
	 * @param sent the requests that it has sent since it has known the limit
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void recordRemoteSent(String host, RunnerId runner, int sent, long nowMillis) {
		Limiter limiter = this.limiters.get(runner);
		if (limiter == null) {
			return;
		}
		Integer before = limiter.remoteSent.put(host, sent);
		// What was sent before this host knew of the limit, as before its start, is not
		// charged at once.
		int added = (before != null) ? sent - before : Math.min(sent, 1);
		if (added > 0) {
			limiter.take(added, nowMillis);
		}
	}

	/**
	 * Returns how many requests may be sent to a runner now.
	 * @param runner the registration of the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the numbers, {@link Allowance#UNLIMITED} without a limit
	 */
	public Allowance getAllowance(RunnerEntry runner, long nowMillis) {
		Limiter limiter = this.limiters.get(runner.id());
		if (limiter == null || !limiter.appliesTo(runner)) {
			return Allowance.UNLIMITED;
		}
		limiter.refill(nowMillis);
		int online = (int) Math.floor(limiter.tokens);
		if (online > 0 && this.random.nextDouble() >= limiter.chance) {
			return new Allowance(0, 0);
		}
		return new Allowance(online, Math.max(0, online - ONLINE_RESERVE));
	}

	/**
	 * Returns the requests that this host has sent to limited runners.
	 * @return the numbers since it has known the limits, by runner
	 */
	public Map<RunnerId, Integer> getSent() {
		Map<RunnerId, Integer> sent = new HashMap<>();
		this.limiters.forEach((runner, limiter) -> {
			if (limiter.sent > 0 && limiter.limit.requestsPerSecond().isPresent()) {
				sent.put(runner, limiter.sent);
			}
		});
		return sent;
	}

	/**
	 * Returns the limits that were observed, also those that have ended.
	 * @return the limits, never null
	 */
	public List<RequestLimit> getLimits() {
		List<RequestLimit> limits = new ArrayList<>();
		this.limiters.values().forEach((limiter) -> limits.add(limiter.limit));
		return limits;
	}

	/**
	 * Removes the limits of runners that are not registered. Recent ones are kept,
	 * because a host that starts may read a limit before the registration.
	 * @param directory the registered runners, not null
	 * @param wallMillis the time in milliseconds since the epoch
	 */
	public void removeUnregistered(RunnerDirectory directory, long wallMillis) {
		this.limiters.values()
			.removeIf((limiter) -> directory.find(limiter.limit.runner()).isEmpty()
					&& wallMillis - limiter.limit.observedMillis() > UNREGISTERED_RETENTION_MILLIS);
	}

	private static final class Limiter {

		private final Map<String, Integer> remoteSent = new HashMap<>();

		private RequestLimit limit;

		private int sent;

		private double tokens = 1;

		private double chance = 1;

		private long increasedMillis;

		private long refilledMillis;

		private Limiter(RequestLimit limit, long nowMillis) {
			this.limit = limit;
			this.refilledMillis = nowMillis;
		}

		private boolean appliesTo(RunnerEntry runner) {
			return this.limit.requestsPerSecond().isPresent() && runner.startedMillis() <= this.limit.startedMillis();
		}

		private void take(int requests, long nowMillis) {
			refill(nowMillis);
			this.tokens -= requests;
			double owed = Math.min(requests, -this.tokens);
			if (owed > 0) {
				this.chance = Math.max(MIN_CHANCE, this.chance * Math.pow(CHANCE_DECREASE, owed));
			}
			this.tokens = Math.max(this.tokens, -MAX_DEBT_SECONDS * getRate());
		}

		private void refill(long nowMillis) {
			double rate = getRate();
			this.tokens = Math.min(getBurst(), this.tokens + rate * (nowMillis - this.refilledMillis) / 1_000.0);
			this.refilledMillis = nowMillis;
			if (this.tokens >= MIN_BURST && nowMillis - this.increasedMillis >= INCREASE_INTERVAL_MILLIS) {
				this.chance = Math.min(1, this.chance * CHANCE_INCREASE);
				this.increasedMillis = nowMillis;
			}
		}

		private double getBurst() {
			return Math.max(MIN_BURST, BURST_SECONDS * getRate());
		}

		private double getRate() {
			return Math.max(MIN_RATE, this.limit.requestsPerSecond().orElse(MIN_RATE));
		}

	}

}
