package org.wigeonglade.core.retry;

import java.util.Set;

import org.wigeonglade.core.id.Fingerprint;

/**
 * A quarantine of the requests that contain all of some fingerprints. Immutable.
 *
 * @param fingerprints the fingerprints of requests or of parts of prompts, not empty
 * @param crashes the number of crashes that are attributed to them
 */
public record Quarantine(Set<Fingerprint> fingerprints, int crashes) {

	/**
	 * Creates the quarantine with an unmodifiable copy of the fingerprints.
	 */
	public Quarantine {
		fingerprints = Set.copyOf(fingerprints);
	}

}
