package org.wigeonglade.core.place;

import java.time.Duration;

/**
 * Timing of the placement lease: when its holder may send commands and when another host
 * may claim it, by the local monotonic clock of each. The holder counts from the start of
 * its last successful append; others count from when they read that record, which is
 * later.
 *
 * @param lease the lease duration that one record of the holder grants
 * @param renew the interval between two renewals
 * @param margin the time before expiry at which the holder stops sending commands
 * @param commandDelay the longest time that a command may take to reach an engine
 */
public record PlacementLeaseTiming(Duration lease, Duration renew, Duration margin, Duration commandDelay) {

	/** The clocks of two machines may drift apart by a fifth of a lease. */
	private static final int CLOCK_DRIFT_DIVISOR = 5;

	/**
	 * Returns the timing used in production.
	 * @return a lease of 15 s, renewed every 5 s
	 */
	public static PlacementLeaseTiming defaults() {
		return new PlacementLeaseTiming(Duration.ofSeconds(15), Duration.ofSeconds(5), Duration.ofSeconds(3),
				Duration.ofSeconds(5));
	}

	/**
	 * Returns whether the holder may send a command.
	 * @param nowMillis the local time right before the command is sent
	 * @param renewedMillis the local time at which its last successful append began
	 * @return false once the margin before expiry has begun
	 */
	public boolean mayCommand(long nowMillis, long renewedMillis) {
		return nowMillis - renewedMillis < this.lease.minus(this.margin).toMillis();
	}

	/**
	 * Returns whether the holder should renew its lease.
	 * @param nowMillis the local time
	 * @param renewedMillis the local time at which its last successful append began
	 * @return true once the renewal interval has passed
	 */
	public boolean mustRenew(long nowMillis, long renewedMillis) {
		return nowMillis - renewedMillis >= this.renew.toMillis();
	}

	/**
	 * Returns whether another host may claim the lease.
	 * @param nowMillis the local time
	 * @param readMillis the local time at which the newest valid record was read
	 * @param released whether that record is a release
	 * @param enginesCheckTerm whether the engines reject commands of a lower term
	 * @return true once no command of the old holder can take effect, or engines are sure
	 * to reject it
	 */
	public boolean mayClaim(long nowMillis, long readMillis, boolean released, boolean enginesCheckTerm) {
		long elapsed = nowMillis - readMillis;
		long drift = this.lease.toMillis() / CLOCK_DRIFT_DIVISOR;
		long wait = (released) ? 0 : this.lease.toMillis() + drift;
		return elapsed >= wait + ((enginesCheckTerm) ? 0 : this.commandDelay.toMillis());
	}

}
