package org.wigeonglade.core.engine;

/**
 * Holds a load report of an engine as of some time ago.
 *
 * @param slots the number of streams that the engine generates at once
 * @param running the number of streams in a slot
 * @param queued the number of streams that wait for a slot
 * @param ageMillis the age of the figures in milliseconds, as far as the engine knows
 */
public record LoadReport(int slots, int running, int queued, long ageMillis) {
}
