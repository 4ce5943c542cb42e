package org.wigeonglade.standins;

/**
 * Faults that a stand-in can inject into a call.
 */
public enum CallFault {

	/** The call is rejected with status 503 and is not executed. */
	REFUSED_BEFORE,

	/** The call is executed, then the connection is closed without a response. */
	ANSWER_LOST,

	/** The connection is closed and the call is not executed. */
	CONNECTION_LOST,

	/** The call is not executed and no response is ever sent. */
	HANGS,

	/** The call is executed; the response body is malformed JSON. */
	MALFORMED_ANSWER

}
