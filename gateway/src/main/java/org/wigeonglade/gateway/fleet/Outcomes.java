package org.wigeonglade.gateway.fleet;

/**
 * Outcomes of requests on one runner, of which older ones count less.
 *
 * @param failed the weight of those that speak against the runner, at least 0
 * @param answered the weight of complete answers, at least 0
 */
public record Outcomes(double failed, double answered) {

	/** No outcome. */
	public static final Outcomes NONE = new Outcomes(0, 0);

	/** Time in milliseconds after which an outcome has half its weight. */
	static final long HALF_LIFE_MILLIS = 1_500;

	Outcomes plus(Outcomes other) {
		return new Outcomes(this.failed + other.failed, this.answered + other.answered);
	}

	Outcomes agedBy(long millis) {
		double weight = Math.pow(0.5, (double) Math.max(0, millis) / HALF_LIFE_MILLIS);
		return new Outcomes(this.failed * weight, this.answered * weight);
	}

	/**
	 * Returns the part of the outcomes that are failures.
	 * @return 0 to 1
	 */
	double getFailureShare() {
		double sum = this.failed + this.answered;
		return (sum > 0) ? this.failed / sum : 0;
	}

}
