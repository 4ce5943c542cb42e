package org.wigeonglade.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.peer.PeerHandler;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Dispatches received frames to the handlers registered for their kind. Thread-safe.
 */
final class PeerHandlerRegistry {

	private static final EventLogger logger = EventLogger.of(PeerHandlerRegistry.class);

	private final Map<PeerFrame.BodyCase, PeerHandler> handlers = new ConcurrentHashMap<>();

	void register(PeerFrame.BodyCase body, PeerHandler handler) {
		this.handlers.put(body, handler);
	}

	// A kind without a handler, or one that this version does not define, fails with
	// ErrorCode.PEER_UNSUPPORTED.
	Uni<PeerFrame> dispatch(HostId from, PeerFrame frame) {
		PeerHandler handler = this.handlers.get(frame.getBodyCase());
		if (handler == null) {
			return Uni.createFrom()
				.failure(new PeerException(ErrorCode.PEER_UNSUPPORTED,
						"this host does not handle peer messages of kind " + describe(frame)));
		}
		return Uni.createFrom()
			.deferred(() -> handler.handle(from, frame))
			.onFailure((f) -> !(f instanceof WigeongladeException))
			.invoke((f) -> logger.log(PeerEvent.HANDLER_FAILED, f, frame.getBodyCase(), from));
	}

	private static String describe(PeerFrame frame) {
		if (frame.getBodyCase() != PeerFrame.BodyCase.BODY_NOT_SET) {
			return frame.getBodyCase().name();
		}
		return "unknown, fields " + frame.getUnknownFields().asMap().keySet();
	}

}
