package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a failed or overdue item is run again or given up (dead-lettered).
 * Stateless.
 */
public final class ItemRetryPolicy {

	private ItemRetryPolicy() {
	}

	/**
	 * Returns whether an error response of a runner means that no run can succeed.
	 * @param status the HTTP status of the response
	 * @return true for status 422
	 */
	public static boolean isPermanent(int status) {
		return status == 422;
	}

	/**
	 * Decides whether an item has used up its attempts.
	 * @param failures the number of failed runs of the item on all hosts
	 * @param maxAttempts the number of failed runs after which an item is given up, at
	 * least 1
	 * @return the reason for giving the item up, empty if it may run
	 */
	public static Optional<String> giveUpAfter(int failures, int maxAttempts) {
		return (failures >= maxAttempts) ? Optional.of("it failed " + failures + " times") : Optional.empty();
	}

	/**
	 * Decides whether an item that waits for a slot of the version of its output begins
	 * anew at another version that has an idle slot: once it has waited as long as its
	 * output took. Whenever a slot would have come, this costs at most twice the time of
	 * the better choice.
	 * @param waited the time since the last run, not null
	 * @param runTime the time that the output took, not null
	 * @return true if the item may discard its output
	 */
	public static boolean mayBeginAnew(Duration waited, Duration runTime) {
		return waited.compareTo(runTime) >= 0;
	}

	/**
	 * Decides whether an item is too old to be run.
	 * @param age the time since the submission of the job, not null
	 * @param retention the age beyond which items are given up, not null; zero for no
	 * limit
	 * @return the reason for giving the item up, empty if it may run
	 */
	public static Optional<String> giveUpAtAge(Duration age, Duration retention) {
		if (!retention.isZero() && age.compareTo(retention) > 0) {
			return Optional.of("it was not done within " + retention.toSeconds() + " s");
		}
		return Optional.empty();
	}

}
