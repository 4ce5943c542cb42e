package org.wigeonglade.core.peer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.HostId;

/**
 * Keeps the addresses that the exchange sends to. Membership maintains it.
 */
public interface PeerDirectory {

	/**
	 * Sets the address of a host. A changed address closes the connections to the old
	 * one.
	 * @param host the host, not null
	 * @param address its peer listener as {@code ip:port}, not null
	 */
	void learn(HostId host, String address);

	/**
	 * Removes a host and closes the connections to it.
	 * @param host the host, not null
	 */
	void forget(HostId host);

	/**
	 * Asks a listener which host it belongs to, and learns its address.
	 * @param address the listener as {@code ip:port}, not null
	 * @return the host; fails with {@link org.wigeonglade.core.error.PeerException}
	 */
	Uni<HostId> greet(String address);

}
