package org.wigeonglade.entry.online;

/**
 * Controls one answer in progress.
 */
public interface StreamHandle {

	/**
	 * Stops asking the engine for tokens until {@link #resume()}; a few may still come.
	 */
	void pause();

	/**
	 * Asks for tokens again.
	 */
	void resume();

	/**
	 * Ends the answer and cancels it at the engine. No event follows.
	 */
	void cancel();

}
