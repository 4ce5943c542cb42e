package org.wigeonglade.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Judges runners by the outcomes of this host's requests. A runner that fails is avoided
 * for a time that doubles with each further failure; one success ends the avoidance.
 * Answers the patterns of runners that went silent, crash again and again, or fail part
 * of their requests while their health probe is good. Not thread-safe.
 */
public final class RunnerHealth {

	/** First time of avoidance in milliseconds: a restart of a runner takes seconds. */
	static final long FIRST_AVOIDANCE_MILLIS = 500;

	/** Longest time of avoidance in milliseconds, so that a recovered runner is found. */
	static final long LONGEST_AVOIDANCE_MILLIS = 4_000;

	private final Map<RunnerId, State> states = new HashMap<>();

	/**
	 * Records a failure that speaks against the runner.
	 * @param runner the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the time until which the runner is avoided, in milliseconds
	 */
	public long failed(RunnerId runner, long nowMillis) {
		State last = this.states.get(runner);
		int failures = (last != null) ? last.failures + 1 : 1;
		long avoidance = Math.min(LONGEST_AVOIDANCE_MILLIS, FIRST_AVOIDANCE_MILLIS << Math.min(10, failures - 1));
		State next = new State(failures, nowMillis + avoidance);
		this.states.put(runner, next);
		return next.avoidedUntilMillis;
	}

	/**
	 * Records a complete answer.
	 * @param runner the runner, not null
	 */
	public void succeeded(RunnerId runner) {
		this.states.remove(runner);
	}

	/**
	 * Returns whether a runner is avoided.
	 * @param runner the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true while others are preferred
	 */
	public boolean isAvoided(RunnerId runner, long nowMillis) {
		State state = this.states.get(runner);
		return state != null && nowMillis < state.avoidedUntilMillis;
	}

	/**
	 * Drops what is known of runners that are no longer registered.
	 * @param directory the registered runners, not null
	 */
	public void retain(RunnerDirectory directory) {
		this.states.keySet().removeIf((id) -> directory.find(id).isEmpty());
	}

	private record State(int failures, long avoidedUntilMillis) {

	}

}
