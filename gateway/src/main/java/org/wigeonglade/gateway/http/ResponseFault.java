package org.wigeonglade.gateway.http;

import java.util.Optional;

/**
 * Bytes on a client connection that are not the response to its request.
 *
 * @param kind the part of the response that is malformed, not null
 * @param reason a description for the log, not null
 * @param requestId the id of the request in progress, empty if there is none or it has no
 * id
 * @param answeredId the id of the last request on the connection whose response is
 * complete, empty if there is none
 * @param headForwarded whether the head of a response to the request in progress was
 * passed on before
 * @param excerpt the first of the bytes, escaped by {@link ByteExcerpt}, not null
 */
public record ResponseFault(Kind kind, String reason, Optional<String> requestId, Optional<String> answeredId,
		boolean headForwarded, String excerpt) {

	/**
	 * Parts of a response.
	 */
	public enum Kind {

		/** The status line or the headers cannot be decoded. */
		HEAD("head"),

		/** The body does not have the framing that the head announces. */
		BODY("body"),

		/** There is no request in progress. */
		UNREQUESTED("unrequested"),

		/** The response exceeds a limit of size or number. */
		LIMIT("limit");

		private final String label;

		Kind(String label) {
			this.label = label;
		}

		/**
		 * Returns the name in the log and the metrics.
		 * @return the name, never null
		 */
		public String getLabel() {
			return this.label;
		}

	}

}
