package org.wigeonglade.bench.history;

/**
 * Size of a workload. Immutable.
 *
 * @param seed the seed of all choices
 * @param onlineClients the number of concurrent online clients
 * @param jobs the number of jobs, each with a client of its own
 * @param itemsPerJob the number of items of a job
 * @param cancelLast whether the client of the last job cancels it
 * @param serviceClients the number of concurrent callers of the plain service
 * @param publish whether an operator publishes a configuration
 * @param readMillis the time between two reads of a job or configuration
 */
public record WorkloadOptions(long seed, int onlineClients, int jobs, int itemsPerJob, boolean cancelLast,
		int serviceClients, boolean publish, long readMillis) {

	/**
	 * Returns a small workload that uses every interface.
	 * @param seed the seed
	 * @return the options, never null
	 */
	public static WorkloadOptions small(long seed) {
		return new WorkloadOptions(seed, 6, 2, 60, true, 2, true, 100);
	}

}
