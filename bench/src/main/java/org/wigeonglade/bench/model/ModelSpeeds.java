package org.wigeonglade.bench.model;

import java.util.List;

/**
 * How the runners of a modelled fleet differ, and what placement knows of it.
 *
 * @param knowledge what placement knows, not null
 * @param speeds the speeds that the runners have in turn, not empty
 * @param slowEvery each runner whose number divides by this becomes slow for a time; 0
 * for none
 * @param slowFactor the factor of its speed meanwhile
 * @param slowFromMillis the start of that time
 * @param slowUntilMillis the end of that time
 * @param episodeShare the share of runs that are slow for a time
 * @param episodeFactor the factor of their speed meanwhile
 * @param episodeMillis the length of that time
 */
public record ModelSpeeds(Knowledge knowledge, List<Double> speeds, int slowEvery, double slowFactor,
		double slowFromMillis, double slowUntilMillis, double episodeShare, double episodeFactor,
		double episodeMillis) {

	/** Runners of the same speed, and placement that takes them for it. */
	public static final ModelSpeeds ALIKE = of(Knowledge.NONE, 1.0);

	/**
	 * Returns runners of lasting speeds.
	 * @param knowledge what placement knows, not null
	 * @param speeds the speeds that the runners have in turn, at least one
	 * @return the speeds, never null
	 */
	public static ModelSpeeds of(Knowledge knowledge, Double... speeds) {
		return new ModelSpeeds(knowledge, List.of(speeds), 0, 1, 0, 0, 0, 1, 0);
	}

	/**
	 * Lets some runners become slow for a time.
	 * @param every each runner whose number divides by this
	 * @param factor the factor of its speed, above 0
	 * @param fromMillis the start
	 * @param untilMillis the end
	 * @return a copy, never null
	 */
	public ModelSpeeds withSlowRunners(int every, double factor, double fromMillis, double untilMillis) {
		return new ModelSpeeds(this.knowledge, this.speeds, every, factor, fromMillis, untilMillis, this.episodeShare,
				this.episodeFactor, this.episodeMillis);
	}

	/**
	 * Lets some runs be slow for a time.
	 * @param share the share of runs
	 * @param factor the factor of their speed, above 0
	 * @param millis the length of the time
	 * @return a copy, never null
	 */
	public ModelSpeeds withEpisodes(double share, double factor, double millis) {
		return new ModelSpeeds(this.knowledge, this.speeds, this.slowEvery, this.slowFactor, this.slowFromMillis,
				this.slowUntilMillis, share, factor, millis);
	}

	boolean isSlowed(int runner) {
		return this.slowEvery > 0 && runner % this.slowEvery == 0;
	}

	// Returns the speed of a runner relative to the mean of the fleet.
	double speedOf(int runner, double nowMillis) {
		double mean = this.speeds.stream().mapToDouble(Double::doubleValue).average().orElse(1);
		boolean slow = isSlowed(runner) && nowMillis >= this.slowFromMillis && nowMillis < this.slowUntilMillis;
		// The pattern of speeds is shifted in each round of slow runners.
		int index = (this.slowEvery > 0) ? runner + runner / this.slowEvery : runner;
		return this.speeds.get(index % this.speeds.size()) / mean * (slow ? this.slowFactor : 1);
	}

	/**
	 * What placement knows of the speeds.
	 */
	public enum Knowledge {

		/** All runners count alike, and have the mean hold time. */
		NONE,

		/** The present speeds. */
		TRUE,

		/** What the hosts observe and tell each other. */
		LEARNED

	}

}
