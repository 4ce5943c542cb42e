package org.wigeonglade.core.peer;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Handler of one kind of received frame.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Handles a frame.
	 * @param from the sender
	 * @param frame the frame
	 * @return the reply, or a null item if there is none; a failure is returned to the
	 * sender as a {@code PeerError}
	 */
	Uni<PeerFrame> handle(HostId from, PeerFrame frame);

}
