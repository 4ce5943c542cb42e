package org.wigeonglade.core.place;

/**
 * State that a runner last reported about itself.
 *
 * @param model the name of the model that it serves, empty for none
 * @param version the version of the model
 * @param loading whether it is loading a model and cannot serve
 * @param term the highest term that it has received, 0 if it ignores terms
 */
public record RunnerObservation(String model, String version, boolean loading, long term) {
}
