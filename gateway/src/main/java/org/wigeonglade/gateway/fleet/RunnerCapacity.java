package org.wigeonglade.gateway.fleet;

/**
 * What has been learned of the capacity of a runner process.
 *
 * @param speed the speed of one slot relative to the mean of the service, above 0; 1 for
 * a runner that does not differ noticeably from the others
 * @param knee the number of requests beyond which more of them yield no more throughput,
 * at least 1
 */
public record RunnerCapacity(double speed, int knee) {

	/** The capacity of a runner without observations. */
	public static final RunnerCapacity UNKNOWN = new RunnerCapacity(1, Integer.MAX_VALUE);

	/**
	 * Checks the figures.
	 */
	public RunnerCapacity {
		if (!(speed > 0) || Double.isInfinite(speed) || knee < 1) {
			throw new IllegalArgumentException("the speed is " + speed + " and the knee " + knee);
		}
	}

}
