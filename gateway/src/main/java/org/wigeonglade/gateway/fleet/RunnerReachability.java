package org.wigeonglade.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells whether this host has lost its way to the runners, as opposed to runners that
 * have failed: several runners in a row cannot be reached, and none can in between. A
 * direct connection ends this state. Not thread-safe.
 */
public final class RunnerReachability {

	/**
	 * Runners in a row that must be out of reach. A crash of a few runners is tried at
	 * fewer of them before a connection to another one succeeds.
	 */
	static final int MIN_RUNNERS = 3;

	/** Time in milliseconds for which a failure counts. */
	static final long RETENTION_MILLIS = 10_000;

	private final Map<RunnerId, Long> connectFailures = new HashMap<>();

	private final Map<RunnerId, Long> silences = new HashMap<>();

	private boolean cutOff;

	/**
	 * Records that a connection to a runner was opened.
	 * @return true if this host was cut off until now
	 */
	public boolean recordConnected() {
		boolean wasCutOff = this.cutOff;
		this.connectFailures.clear();
		this.silences.clear();
		this.cutOff = false;
		return wasCutOff;
	}

	/**
	 * Records that a response was received on a connection that was opened before. It
	 * does not show that new connections can be opened.
	 */
	public void recordResponse() {
		this.silences.clear();
	}

	/**
	 * Records that no connection to a runner could be opened.
	 * @param runner the runner, not null
	 * @param registered the number of registered runners
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if this host is cut off from now on
	 */
	public boolean recordConnectFailure(RunnerId runner, int registered, long nowMillis) {
		this.connectFailures.put(runner, nowMillis);
		return update(registered, nowMillis);
	}

	/**
	 * Records that a runner did not respond on an open connection.
	 * @param runner the runner, not null
	 * @param registered the number of registered runners
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if this host is cut off from now on
	 */
	public boolean recordSilence(RunnerId runner, int registered, long nowMillis) {
		this.silences.put(runner, nowMillis);
		return update(registered, nowMillis);
	}

	/**
	 * Returns whether this host has lost its way to the runners.
	 * @return true until a direct connection succeeds
	 */
	public boolean isCutOff() {
		return this.cutOff;
	}

	private boolean update(int registered, long nowMillis) {
		this.connectFailures.values().removeIf((failed) -> nowMillis - failed > RETENTION_MILLIS);
		this.silences.values().removeIf((silent) -> nowMillis - silent > RETENTION_MILLIS);
		Set<RunnerId> suspects = new HashSet<>(this.connectFailures.keySet());
		suspects.addAll(this.silences.keySet());
		boolean wasCutOff = this.cutOff;
		this.cutOff |= suspects.size() >= Math.min(MIN_RUNNERS, Math.max(1, registered));
		return this.cutOff && !wasCutOff;
	}

}
