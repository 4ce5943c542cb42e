package org.wigeonglade.bench.demo;

import org.wigeonglade.standins.net.NetworkLink;

/**
 * Holds one entry host of a fixture and the link that clients use to reach it.
 */
public final class FleetMember {

	private final String name;

	private final String domain;

	private final FleetHost host;

	private final NetworkLink clientLink;

	private volatile boolean up = true;

	FleetMember(String name, String domain, FleetHost host, NetworkLink clientLink) {
		this.name = name;
		this.domain = domain;
		this.host = host;
		this.clientLink = clientLink;
	}

	/**
	 * Returns the name.
	 * @return the name of the host
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the failure domain.
	 * @return the name of the domain
	 */
	public String domain() {
		return this.domain;
	}

	/**
	 * Returns the port through which clients reach the host, with the latency to clients.
	 * @return the port of the link
	 */
	public int clientPort() {
		return this.clientLink.port();
	}

	/**
	 * Returns the host.
	 * @return the running host, never null
	 */
	public FleetHost host() {
		return this.host;
	}

	/**
	 * Returns whether the load balancer still sends requests to the host.
	 * @return false after a stop or kill
	 */
	public boolean isUp() {
		return this.up;
	}

	NetworkLink clientLink() {
		return this.clientLink;
	}

	void setDown() {
		this.up = false;
	}

}
