package org.wigeonglade.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Passive health tracking of runners by the outcomes of this host's requests. After a
 * failure, a runner is avoided for a time that doubles with each consecutive failure; one
 * success ends the avoidance. This covers runners that stop responding, crash repeatedly,
 * or fail part of their requests while their health probe succeeds. Not thread-safe.
 */
public final class RunnerHealth {

	/**
	 * Avoidance after the first failure, in milliseconds. It may be shorter than the
	 * restart of a runner, which takes seconds, because it doubles with each failure.
	 */
	static final long INITIAL_AVOIDANCE_MILLIS = 500;

	/**
	 * Longest avoidance in milliseconds, so that a recovered runner is used again soon.
	 */
	static final long MAX_AVOIDANCE_MILLIS = 4_000;

	private final Map<RunnerId, FailureState> states = new HashMap<>();

	/**
	 * Records a failure that is attributed to the runner.
	 * @param runner the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the monotonic time until which the runner is avoided, in milliseconds
	 */
	public long recordFailure(RunnerId runner, long nowMillis) {
		FailureState last = this.states.get(runner);
		int failures = (last != null) ? last.failures + 1 : 1;
		long avoidance = Math.min(MAX_AVOIDANCE_MILLIS, INITIAL_AVOIDANCE_MILLIS << Math.min(10, failures - 1));
		FailureState next = new FailureState(failures, nowMillis + avoidance);
		this.states.put(runner, next);
		return next.avoidedUntilMillis;
	}

	/**
	 * Records a complete response, which ends the avoidance.
	 * @param runner the runner, not null
	 */
	public void recordSuccess(RunnerId runner) {
		this.states.remove(runner);
	}

	/**
	 * Ends all avoidances.
	 */
	public void clear() {
		this.states.clear();
	}

	/**
	 * Returns whether a runner is avoided.
	 * @param runner the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if it is used only when no other runner is available
	 */
	public boolean isAvoided(RunnerId runner, long nowMillis) {
		FailureState state = this.states.get(runner);
		return state != null && nowMillis < state.avoidedUntilMillis;
	}

	/**
	 * Removes the state of runners that are no longer registered.
	 * @param directory the registered runners, not null
	 */
	public void removeUnregistered(RunnerDirectory directory) {
		this.states.keySet().removeIf((id) -> directory.find(id).isEmpty());
	}

	private record FailureState(int failures, long avoidedUntilMillis) {

	}

}
