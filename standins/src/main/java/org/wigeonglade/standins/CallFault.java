package org.wigeonglade.standins;

/**
 * Ways in which a stand-in fails a call.
 */
public enum CallFault {

	/** The call is refused with a statement that nothing was applied. */
	REFUSED_BEFORE,

	/** The call takes effect, then the connection is closed without an answer. */
	ANSWER_LOST,

	/** The connection is closed and nothing takes effect. */
	CONNECTION_LOST,

	/** Nothing takes effect and no answer is ever given. */
	HANGS,

	/** The call takes effect and is answered with an unreadable body. */
	MALFORMED_ANSWER

}
