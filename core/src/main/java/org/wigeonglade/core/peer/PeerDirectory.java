package org.wigeonglade.core.peer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.HostId;

/**
 * Addresses of the hosts that the transport can send to, maintained by membership.
 */
public interface PeerDirectory {

	/**
	 * Sets the address of a host. A changed address closes the connections to the old
	 * one.
	 * @param host the host, not null
	 * @param address the address of its peer listener as {@code ip:port}, not null
	 */
	void setPeerAddress(HostId host, String address);

	/**
	 * Removes a host and closes the connections to it.
	 * @param host the host, not null
	 */
	void removePeer(HostId host);

	/**
	 * Identifies the host that listens on an address, and sets the address of that host.
	 * @param address the address of the listener as {@code ip:port}, not null
	 * @return the host; fails with {@link org.wigeonglade.core.error.PeerException}
	 */
	Uni<HostId> identifyPeer(String address);

}
