package org.wigeonglade.bench.demo;

/**
 * One running entry host as the fixture needs it.
 */
public interface FleetHost {

	/**
	 * Returns the port for callers.
	 * @return the bound port
	 */
	int callerPort();

	/**
	 * Returns the port for operators.
	 * @return the bound port
	 */
	int operatorPort();

	/**
	 * Returns the port for other hosts.
	 * @return the bound port
	 */
	int peerPort();

	/**
	 * Returns what the readiness check of the host reports.
	 * @return whether the load balancer may send requests
	 */
	boolean isReady();

	/**
	 * Blocks the event loops of the host, as a long pause of its process does.
	 * @param millis the length of the pause
	 */
	void pause(long millis);

	/**
	 * Stops the host as planned; requests in progress finish.
	 */
	void stop();

	/**
	 * Drops the host without any handover.
	 */
	void kill();

}
