package org.wigeonglade.entry.online;

/**
 * Controls one response in progress. The methods may be called from any thread.
 */
public interface StreamHandle {

	/**
	 * Stops requesting tokens from the engine until {@link #resume()}; tokens that were
	 * already requested may still arrive.
	 */
	void pause();

	/**
	 * Requests tokens again after {@link #pause()}.
	 */
	void resume();

	/**
	 * Ends the response and cancels it at the engine. No event follows.
	 */
	void cancel();

}
