package org.wigeonglade.core.place;

import java.time.Duration;

/**
 * Decides by the local monotonic clock when a holder may give commands and when another
 * host may claim. A holder counts from the start of its last successful append; others
 * count from when they read that record, which is later.
 *
 * @param lease the time that one record of the holder lasts
 * @param renew the time between two records of the holder
 * @param margin the time before the end of the lease at which the holder stops
 * @param commandDelay the longest time that a command may take to reach an engine
 */
public record PlacementLease(Duration lease, Duration renew, Duration margin, Duration commandDelay) {

	/** Clocks of two machines may run apart by a fifth over one lease. */
	private static final int DRIFT_DIVISOR = 5;

	/**
	 * Returns the times used in production.
	 * @return the lease, never null
	 */
	public static PlacementLease defaults() {
		return new PlacementLease(Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(3),
				Duration.ofSeconds(5));
	}

	/**
	 * Returns whether the holder may give a command.
	 * @param nowMillis the local time right before the command is sent
	 * @param provenMillis the local time at which its last successful append began
	 * @return false from the margin before the end of the lease on
	 */
	public boolean mayCommand(long nowMillis, long provenMillis) {
		return nowMillis - provenMillis < this.lease.minus(this.margin).toMillis();
	}

	/**
	 * Returns whether the holder should renew its lease.
	 * @param nowMillis the local time
	 * @param provenMillis the local time at which its last successful append began
	 * @return true after the renewal time
	 */
	public boolean mustRenew(long nowMillis, long provenMillis) {
		return nowMillis - provenMillis >= this.renew.toMillis();
	}

	/**
	 * Returns whether another host may claim.
	 * @param nowMillis the local time
	 * @param seenMillis the local time at which the newest valid record was read
	 * @param released whether that record is a release
	 * @param enginesCheckTerm whether the engines reject commands of a lower term
	 * @return true once no command of the old holder can take effect any more, or can
	 * only be rejected
	 */
	public boolean mayClaim(long nowMillis, long seenMillis, boolean released, boolean enginesCheckTerm) {
		long silent = nowMillis - seenMillis;
		long drift = this.lease.toMillis() / DRIFT_DIVISOR;
		long wait = (released) ? 0 : this.lease.toMillis() + drift;
		return silent >= wait + ((enginesCheckTerm) ? 0 : this.commandDelay.toMillis());
	}

}
