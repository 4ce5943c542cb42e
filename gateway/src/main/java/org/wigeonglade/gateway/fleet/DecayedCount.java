package org.wigeonglade.gateway.fleet;

/**
 * An exponentially decayed count of events. Not thread-safe.
 */
final class DecayedCount {

	private final double timeConstantMillis;

	private double value;

	private long updatedMillis;

	DecayedCount(double timeConstantSeconds) {
		this.timeConstantMillis = timeConstantSeconds * 1_000;
	}

	// A negative amount takes events back; the count does not become negative.
	void add(double amount, long nowMillis) {
		this.value = Math.max(0, get(nowMillis) + amount);
		this.updatedMillis = Math.max(this.updatedMillis, nowMillis);
	}

	double get(long nowMillis) {
		long elapsed = nowMillis - this.updatedMillis;
		return (elapsed > 0 && this.value > 0) ? this.value * Math.exp(-elapsed / this.timeConstantMillis) : this.value;
	}

}
