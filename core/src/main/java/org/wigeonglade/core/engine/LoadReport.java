package org.wigeonglade.core.engine;

/**
 * Load of an engine at an earlier time.
 *
 * @param slots the number of streams that the engine can generate concurrently
 * @param running the number of streams in a slot
 * @param queued the number of streams queued for a slot
 * @param ageMillis the age of the report in milliseconds, as stated by the engine
 */
public record LoadReport(int slots, int running, int queued, long ageMillis) {
}
