package org.wigeonglade.gateway.workspace;

import java.time.Duration;
import java.util.Optional;

import org.wigeonglade.core.time.ClockReading;

/**
 * Lease on the freshness of the configuration. It is renewed by each read that finds no
 * newer configuration, as of the start of the read. While it is valid, no key can have
 * been withdrawn for longer than its duration. The duration is measured on both clocks,
 * and the longer reading counts: the monotonic clock stops while the machine is
 * suspended. A time of day that was set back ends the lease until the next read.
 * Immutable.
 */
public final class ConfigurationLease {

	/**
	 * Share of the permitted delay of a withdrawal for which the lease is valid; the rest
	 * covers the drift of the clocks.
	 */
	private static final double DURATION_SHARE = 0.9;

	/**
	 * Age in milliseconds up to which the configuration counts as recent. A long poll
	 * waits 1 s, so that without changes the age reaches twice as much. Changes have to
	 * apply within 3 s.
	 */
	private static final long RECENT_MILLIS = 2_200;

	/**
	 * Time in milliseconds by which the time of day may lag behind the monotonic clock:
	 * gradual corrections of the clock are smaller.
	 */
	private static final long CLOCK_TOLERANCE_MILLIS = 250;

	private final Optional<Duration> revocationDelay;

	private ConfigurationLease(Optional<Duration> revocationDelay) {
		this.revocationDelay = revocationDelay;
	}

	/**
	 * Returns a lease.
	 * @param revocationDelay the time after which a withdrawn key must not be served
	 * anywhere; empty if a host may serve with the last configuration that it has read
	 * @return the lease, never null
	 */
	public static ConfigurationLease of(Optional<Duration> revocationDelay) {
		return new ConfigurationLease(revocationDelay);
	}

	/**
	 * Returns the freshness of the configuration.
	 * @param asOf the start of the last read that reached the end of the configuration
	 * stream, not null
	 * @param now the present time, not null
	 * @return the freshness, never null
	 */
	public AccessPolicy.Freshness getFreshness(ClockReading asOf, ClockReading now) {
		long monotonicAge = now.monotonicMillis() - asOf.monotonicMillis();
		long wallAge = now.wallMillis() - asOf.wallMillis();
		long age = Math.max(monotonicAge, wallAge);
		boolean setBack = wallAge < monotonicAge - CLOCK_TOLERANCE_MILLIS;
		if (age <= RECENT_MILLIS && !setBack) {
			return AccessPolicy.Freshness.RECENT;
		}
		boolean expired = this.revocationDelay
			.filter((delay) -> setBack || age > Math.round(delay.toMillis() * DURATION_SHARE))
			.isPresent();
		return expired ? AccessPolicy.Freshness.EXPIRED : AccessPolicy.Freshness.USABLE;
	}

}
