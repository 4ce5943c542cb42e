package org.wigeonglade.gateway.fleet;

/**
 * Observes the progress of one request at a runner. Not thread-safe.
 */
public final class RunnerProgress {

	/** Interval of observations of a stream in milliseconds. */
	private static final long INTERVAL_MILLIS = 100;

	private final RunnerSpeeds speeds;

	private final boolean queued;

	private final WorkKind eventKind;

	private long sinceMillis;

	private int events;

	private boolean begun;

	private boolean stopped;

	/**
	 * Begins to observe a request that is about to be sent.
	 * @param speeds receives the observations, not null
	 * @param eventKind the kind of the events of the response, not null
	 * @param queued whether all slots of the runner are in use, so that the time to the
	 * first event tells nothing about its speed
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public RunnerProgress(RunnerSpeeds speeds, WorkKind eventKind, boolean queued, long nowMillis) {
		this.speeds = speeds;
		this.eventKind = eventKind;
		this.queued = queued;
		this.sinceMillis = nowMillis;
	}

	/**
	 * Records events of a stream.
	 * @param runner the process that responds, not null
	 * @param paused whether reading was paused, so that the times are not the runner's
	 * @param count the number of events with content, at least 0
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void eventsReceived(RunnerEntry runner, boolean paused, int count, long nowMillis) {
		this.stopped |= paused;
		if (this.stopped || count <= 0) {
			return;
		}
		if (!this.begun) {
			this.begun = true;
			if (!this.queued && this.eventKind == WorkKind.EVENT) {
				this.speeds.observe(runner, WorkKind.FIRST_EVENT, 1, nowMillis - this.sinceMillis, nowMillis);
			}
			this.sinceMillis = nowMillis;
			return;
		}
		this.events += count;
		if (nowMillis - this.sinceMillis >= INTERVAL_MILLIS) {
			flush(runner, nowMillis);
		}
	}

	/**
	 * Records the end of a response that is not a stream.
	 * @param runner the process that responded, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void responseReceived(RunnerEntry runner, long nowMillis) {
		if (!this.queued && !this.stopped) {
			this.speeds.observe(runner, WorkKind.RESPONSE, 1, Math.max(1, nowMillis - this.sinceMillis), nowMillis);
		}
		this.stopped = true;
	}

	/**
	 * Records that the runner refused the request because it is full.
	 * @param runner the process, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void refused(RunnerEntry runner, long nowMillis) {
		this.speeds.recordRefusal(runner, nowMillis);
		this.stopped = true;
	}

	/**
	 * Records that a runner that seemed to have an idle slot has not responded in time.
	 * @param runner the runner, not null
	 * @param kind what was expected, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void timedOut(RunnerEntry runner, WorkKind kind, long nowMillis) {
		if (!this.queued && !this.begun && !this.stopped) {
			this.speeds.observe(runner, kind, 0, nowMillis - this.sinceMillis, nowMillis);
		}
		this.stopped = true;
	}

	private void flush(RunnerEntry runner, long nowMillis) {
		this.speeds.observe(runner, this.eventKind, this.events, nowMillis - this.sinceMillis, nowMillis);
		this.events = 0;
		this.sinceMillis = nowMillis;
	}

}
