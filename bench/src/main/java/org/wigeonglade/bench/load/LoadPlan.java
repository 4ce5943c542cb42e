package org.wigeonglade.bench.load;

import java.time.Duration;
import java.util.Random;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Plans when requests arrive. Arrivals are a Poisson process whose rate rises during
 * bursts; the same plan always gives the same times. Immutable.
 *
 * @param name the name of the run
 * @param seed the seed of arrivals
 * @param requestsPerSecond the rate outside of bursts, above 0
 * @param duration the time over which requests arrive, at most one hour
 * @param burstEvery the time from the start of one burst to the next, zero for none
 * @param burstLength the length of a burst
 * @param burstFactor the rate within a burst as a multiple, at least 1
 */
public record LoadPlan(String name, long seed, double requestsPerSecond, Duration duration, Duration burstEvery,
		Duration burstLength, double burstFactor) {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final Duration LONGEST = Duration.ofHours(1);

	/** Bounds the memory of a plan and the load on the machine. */
	private static final double MAX_REQUESTS = 2_000_000;

	/**
	 * Creates the plan.
	 * @throws InvalidRequestException if a value is out of range
	 */
	public LoadPlan {
		boolean valid = requestsPerSecond > 0 && !duration.isNegative() && !duration.isZero()
				&& duration.compareTo(LONGEST) <= 0 && burstFactor >= 1 && !burstEvery.isNegative()
				&& requestsPerSecond * burstFactor * duration.toSeconds() <= MAX_REQUESTS;
		if (!valid) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"a load plan needs a rate above 0, a duration up to one hour, a burst factor of at least 1 and at "
							+ "most " + (long) MAX_REQUESTS + " requests");
		}
	}

	/**
	 * Returns a plan without bursts.
	 * @param name the name of the run
	 * @param seed the seed of arrivals
	 * @param requestsPerSecond the rate, above 0
	 * @param duration the time over which requests arrive
	 * @return a plan, never null
	 */
	public static LoadPlan steady(String name, long seed, double requestsPerSecond, Duration duration) {
		return new LoadPlan(name, seed, requestsPerSecond, duration, Duration.ZERO, Duration.ZERO, 1);
	}

	/**
	 * Returns the plan with bursts.
	 * @param every the time from the start of one burst to the next
	 * @param length the length of a burst
	 * @param factor the rate within a burst as a multiple, at least 1
	 * @return a plan, never null
	 */
	public LoadPlan withBursts(Duration every, Duration length, double factor) {
		return new LoadPlan(this.name, this.seed, this.requestsPerSecond, this.duration, every, length, factor);
	}

	/**
	 * Returns the plan with another seed.
	 * @param newSeed the seed
	 * @return a plan, never null
	 */
	public LoadPlan withSeed(long newSeed) {
		return new LoadPlan(this.name, newSeed, this.requestsPerSecond, this.duration, this.burstEvery,
				this.burstLength, this.burstFactor);
	}

	/**
	 * Returns the times of all arrivals.
	 * @return nanoseconds from the start, ascending
	 */
	public long[] arrivals() {
		Random random = new Random(this.seed);
		java.util.stream.LongStream.Builder times = java.util.stream.LongStream.builder();
		double peak = this.requestsPerSecond * this.burstFactor;
		double now = 0;
		while (true) {
			// Thinning: candidates come at the peak rate and are kept by the current
			// rate.
			now += -Math.log(1 - random.nextDouble()) / peak * NANOS_PER_SECOND;
			if (now >= this.duration.toNanos()) {
				return times.build().toArray();
			}
			if (random.nextDouble() * peak < rateAt((long) now)) {
				times.add((long) now);
			}
		}
	}

	private double rateAt(long nanos) {
		long every = this.burstEvery.toNanos();
		boolean burst = every > 0 && nanos % every < this.burstLength.toNanos();
		return (burst) ? this.requestsPerSecond * this.burstFactor : this.requestsPerSecond;
	}

}
