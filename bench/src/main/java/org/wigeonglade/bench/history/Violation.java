package org.wigeonglade.bench.history;

/**
 * Evidence that a promise was broken.
 *
 * @param promise the promise, such as {@code P4}
 * @param seed the seed that repeats the run
 * @param evidence what the history shows
 */
public record Violation(String promise, long seed, String evidence) {

	@Override
	public String toString() {
		return this.promise + " broken (seed " + this.seed + "): " + this.evidence;
	}

}
