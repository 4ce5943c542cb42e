package org.wigeonglade.cli;

/**
 * One run of a batch item on a host, as the log tells it.
 *
 * @param item the job and the item, not null
 * @param host the host that ran it, not null
 * @param domain the failure domain of the host, {@code unknown} if no line names it
 * @param startSeconds the start of the run
 * @param endSeconds the end of the run, or of the log of its host if no line ends the run
 * @param end how the run ended, not null
 * @param resumed whether the run continued the output of earlier runs on the host
 * @param events the events of the output that the run continued or began, at its end
 * @param newEvents the events that the run itself received, as far as the log tells
 */
record ItemRun(String item, String host, String domain, double startSeconds, double endSeconds, String end,
		boolean resumed, long events, long newEvents) {

	/** End of a run that delivered the output of the item. */
	static final String COMPLETED = "completed";

	/** End of a run whose host wrote no further lines. */
	static final String HOST_KILLED = "cut: the log of the host ends";

	/** End of a run that was in progress when its host stopped. */
	static final String HOST_STOPPED = "cut: the host stopped";

	double seconds() {
		return this.endSeconds - this.startSeconds;
	}

}
