package org.wigeonglade.bench.listing;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Size of a measurement of listings. Immutable.
 *
 * @param hosts the number of hosts that start at the same moment
 * @param jobsPerSecond the rate of jobs
 * @param seconds the time for which jobs were stored before the start
 * @param items the number of items of a job
 * @param bodyBytes the size of the body of an item
 * @param outputBytes the size of the output of an item
 * @param linkMegabits the rate of the way of each host to the store in Mbit/s, 0 for no
 * limit
 * @param storeMegabytes the rate of all reads of the store together in MB/s, 0 for no
 * limit
 * @param limitSeconds the time after which the measurement ends
 */
public record ListingOptions(int hosts, double jobsPerSecond, int seconds, int items, int bodyBytes, int outputBytes,
		double linkMegabits, double storeMegabytes, int limitSeconds) {

	/**
	 * Creates the options.
	 * @throws InvalidRequestException if a figure is out of its range
	 */
	public ListingOptions {
		require(hosts >= 1 && hosts <= 200, "hosts", hosts, "from 1 to 200");
		require(jobsPerSecond > 0, "rate", jobsPerSecond, "above 0");
		require(seconds >= 1, "seconds", seconds, "1 or more");
		require(items >= 1 && items <= 200, "items", items, "from 1 to 200");
		require(bodyBytes >= 0 && bodyBytes <= 100_000, "body-bytes", bodyBytes, "from 0 to 100000");
		require(outputBytes >= 0 && outputBytes <= 250_000, "output-bytes", outputBytes, "from 0 to 250000");
		require(linkMegabits >= 0, "link-mbit", linkMegabits, "0 or more");
		require(storeMegabytes >= 0, "store-mb", storeMegabytes, "0 or more");
		require(limitSeconds >= 1, "limit", limitSeconds, "1 or more");
	}

	/**
	 * Returns the number of jobs that are stored before the start.
	 * @return the number, at least 1
	 */
	int getStoredJobs() {
		return (int) Math.max(1, Math.round(this.jobsPerSecond * this.seconds));
	}

	private static void require(boolean valid, String name, Number found, String allowed) {
		if (!valid) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"--" + name + " is " + found + ", but must be " + allowed);
		}
	}

}
