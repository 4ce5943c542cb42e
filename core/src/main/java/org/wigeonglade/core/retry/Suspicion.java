package org.wigeonglade.core.retry;

import java.util.Set;
import java.util.TreeSet;

/**
 * Crash history of a fingerprint that was in flight on a runner that crashed. Immutable;
 * merging is commutative and idempotent, so that notices may arrive in any order and
 * repeatedly.
 *
 * @param crashed the runner incarnations that crashed while they ran the fingerprint
 * @param quarantined whether the fingerprint must not run again
 * @param reason why it is quarantined, empty while it is only suspected
 */
public record Suspicion(Set<String> crashed, boolean quarantined, String reason) {

	/** Distinct crashed runner incarnations that quarantine a fingerprint. */
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
	 * @return a state that is not quarantined, never null
	 */
	public static Suspicion first(String upstream) {
		return new Suspicion(Set.of(upstream), false, "");
	}

	/**
	 * Returns the state after a further crash, of a retry that ran isolated.
	 * @param upstream the runner incarnation, not null
	 * @return the new state, never null
	 */
	public Suspicion plusCrash(String upstream) {
		return plus(first(upstream));
	}

	/**
	 * Merges two states: the union of the crashes, quarantined if either state is or if
	 * the crashes suffice.
	 * @param other the other state, not null
	 * @return the merged state, never null
	 */
	public Suspicion plus(Suspicion other) {
		Set<String> union = new TreeSet<>(this.crashed);
		union.addAll(other.crashed);
		boolean quarantine = this.quarantined || other.quarantined || union.size() >= CRASHES_TO_QUARANTINE;
		String text = this.reason.isEmpty() ? other.reason : this.reason;
		return new Suspicion(union, quarantine, (quarantine && text.isEmpty()) ? reasonFor(union) : text);
	}

	private static String reasonFor(Set<String> crashed) {
		return "runners " + String.join(" and ", new TreeSet<>(crashed)) + " were lost while they ran this request";
	}

}
