package org.wigeonglade.core.place;

/**
 * Holds what an engine told of itself.
 *
 * @param model the model that it serves, empty for none
 * @param version the version of the model
 * @param loading whether it is loading and cannot serve
 * @param term the highest term that it saw, 0 if it ignores terms
 */
public record RunnerObservation(String model, String version, boolean loading, long term) {
}
