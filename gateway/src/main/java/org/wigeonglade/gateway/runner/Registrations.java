package org.wigeonglade.gateway.runner;

import java.time.Duration;

/**
 * Reads the registrations of runners.
 */
public interface Registrations {

	/**
	 * Brings the registrations that this host knows up to date.
	 * @param timeout the maximum time, not null
	 * @param onCurrent run once they are at least as new as this call, not null
	 * @param onTimeout run instead after the timeout, not null
	 */
	void refresh(Duration timeout, Runnable onCurrent, Runnable onTimeout);

}
