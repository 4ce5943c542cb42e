package org.wigeonglade.core.retry;

import java.util.Set;
import java.util.TreeSet;

/**
 * Holds what is known of a fingerprint that was in flight on a runner that crashed.
 * Immutable; merging is commutative, so that notices may arrive in any order.
 *
 * @param crashed the runner incarnations that were lost with it in flight
 * @param quarantined whether it must not run again
 * @param reason why it is quarantined, empty while it is only suspected
 */
public record Suspicion(Set<String> crashed, boolean quarantined, String reason) {

	/** Crashes that quarantine a fingerprint. */
	public static final int CRASHES_TO_QUARANTINE = 2;

	/**
	 * Creates the state with an unmodifiable copy of the names.
	 */
	public Suspicion {
		crashed = Set.copyOf(crashed);
	}

	/**
	 * Returns the state after the first crash.
	 * @param upstream the runner incarnation, not null
	 * @return a suspicion, never null
	 */
	public static Suspicion first(String upstream) {
		return new Suspicion(Set.of(upstream), false, "");
	}

	/**
	 * Returns the state after a further crash of a retry that ran alone.
	 * @param upstream the runner incarnation, not null
	 * @return the new state, never null
	 */
	public Suspicion plusCrash(String upstream) {
		return plus(first(upstream));
	}

	/**
	 * Returns the state that knows all that either state knows.
	 * @param other the other state, not null
	 * @return the merged state, never null
	 */
	public Suspicion plus(Suspicion other) {
		Set<String> all = new TreeSet<>(this.crashed);
		all.addAll(other.crashed);
		boolean both = this.quarantined || other.quarantined || all.size() >= CRASHES_TO_QUARANTINE;
		String text = this.reason.isEmpty() ? other.reason : this.reason;
		return new Suspicion(all, both, (both && text.isEmpty()) ? reasonFor(all) : text);
	}

	private static String reasonFor(Set<String> crashed) {
		return "runners " + String.join(" and ", new TreeSet<>(crashed)) + " were lost while they ran this request";
	}

}
