package org.wigeonglade.core.peer;

import java.time.Duration;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Message transport between hosts: requests with replies, one-way frames, and dispatch of
 * received frames to handlers. Control and batch frames use separate connections.
 */
public interface PeerTransport {

	/**
	 * Sends a request and waits for the reply.
	 * @param to the receiver, not null; a request to this host is handled locally
	 * @param purpose the connection to use
	 * @param frame the frame; its correlation id is set by the transport
	 * @param timeout the time without a reply after which the request fails
	 * @return the reply; fails with {@link org.wigeonglade.core.error.PeerException}
	 */
	Uni<PeerFrame> request(HostId to, LinkPurpose purpose, PeerFrame frame, Duration timeout);

	/**
	 * Sends a frame without a reply. Delivery is not guaranteed.
	 * @param to the receiver, not null
	 * @param purpose the connection to use
	 * @param frame the frame
	 */
	void send(HostId to, LinkPurpose purpose, PeerFrame frame);

	/**
	 * Registers the handler of one kind of frame; a later registration replaces it.
	 * @param body the kind of frame
	 * @param handler the handler, called on an event loop; it must not block
	 */
	void handle(PeerFrame.BodyCase body, PeerHandler handler);

}
