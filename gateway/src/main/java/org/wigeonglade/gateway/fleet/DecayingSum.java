package org.wigeonglade.gateway.fleet;

/**
 * Work done and slot time spent on it, both decaying exponentially with age. Their
 * quotient is a mean speed in which recent observations count most. Not thread-safe.
 */
final class DecayingSum {

	private final double decayMillis;

	private double work;

	private double time;

	private long asOfMillis;

	/**
	 * Creates a sum of nothing.
	 * @param decayMillis the age at which an observation has lost all but 1/e of its
	 * weight
	 */
	DecayingSum(double decayMillis) {
		this.decayMillis = decayMillis;
	}

	void add(double addedWork, double addedTime, long nowMillis) {
		decay(nowMillis);
		this.work = Math.max(0, this.work + addedWork);
		this.time = Math.max(0, this.time + addedTime);
	}

	void set(double newWork, double newTime, long nowMillis) {
		this.asOfMillis = nowMillis;
		this.work = newWork;
		this.time = newTime;
	}

	double getWork(long nowMillis) {
		return this.work * getFactor(nowMillis);
	}

	double getTime(long nowMillis) {
		return this.time * getFactor(nowMillis);
	}

	private void decay(long nowMillis) {
		double factor = getFactor(nowMillis);
		this.work *= factor;
		this.time *= factor;
		this.asOfMillis = Math.max(this.asOfMillis, nowMillis);
	}

	private double getFactor(long nowMillis) {
		return (nowMillis > this.asOfMillis) ? Math.exp((this.asOfMillis - nowMillis) / this.decayMillis) : 1;
	}

}
