package org.wigeonglade.peer;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.schema.generated.peer.PeerError;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Converts between exceptions and error frames.
 */
final class PeerErrors {

	private PeerErrors() {
	}

	static PeerFrame toFrame(long correlationId, Throwable failure) {
		if (failure instanceof WigeongladeException typed) {
			return toFrame(correlationId, typed.getCode(), typed.getMessage());
		}
		return toFrame(correlationId, ErrorCode.INTERNAL, "the peer failed to handle the message");
	}

	static PeerFrame toFrame(long correlationId, ErrorCode code, String message) {
		return PeerFrame.newBuilder()
			.setProtocolVersion(PeerIdentity.PROTOCOL_VERSION)
			.setCorrelationId(correlationId)
			.setReply(true)
			.setError(PeerError.newBuilder().setCode(code.getCode()).setMessage(message))
			.build();
	}

	// A code that this version does not define is mapped to ErrorCode.INTERNAL and kept
	// in the message.
	static PeerException toException(PeerError error) {
		return ErrorCode.find(error.getCode())
			.map((c) -> new PeerException(c, error.getMessage()))
			.orElseGet(() -> new PeerException(ErrorCode.INTERNAL,
					"the peer answered with " + error.getCode() + ": " + error.getMessage()));
	}

}
