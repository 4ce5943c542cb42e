package org.wigeonglade.core.error;

import java.util.Arrays;
import java.util.Optional;

/**
 * Stable error codes. {@code docs/errors.md} lists the cause and the remedy of each.
 * Numbers: 1xxx settings and command line, 2xxx requests of callers, 3xxx configuration,
 * 4xxx upstreams and admission, 5xxx platform, 6xxx peers, 9xxx internal.
 */
public enum ErrorCode {

	/** A settings or configuration file violates its schema. */
	SETTINGS_INVALID(1001, 400),

	/** A settings or configuration file cannot be read. */
	SETTINGS_UNREADABLE(1002, 400),

	/** An argument of a command or of an operator request is invalid. */
	ARGUMENT_INVALID(1003, 400),

	/** A request is malformed. */
	REQUEST_INVALID(2001, 400),

	/** No valid API key was presented. */
	KEY_INVALID(2002, 401),

	/** The workspace may not use this service or resource. */
	FORBIDDEN(2003, 403),

	/** The resource does not exist. */
	NOT_FOUND(2004, 404),

	/** A body, header, item or nesting depth exceeds its limit. */
	TOO_LARGE(2005, 413),

	/** A line of a job file is malformed. */
	LINE_INVALID(2006, 400),

	/** Two items of a job have the same custom id. */
	CUSTOM_ID_DUPLICATE(2007, 400),

	/** The method is not supported on this path. */
	METHOD_INVALID(2008, 405),

	/** The idempotency key was used with another request body. */
	KEY_REUSED(2009, 409),

	/** The request with this idempotency key is still in progress. */
	KEY_IN_PROGRESS(2010, 409),

	/** The client closed the connection before the response was complete. */
	CLIENT_GONE(2011, 499),

	/** The job was cancelled. */
	JOB_CANCELLED(2012, 409),

	/** A published configuration is not valid. */
	CONFIG_INVALID(3001, 400),

	/** Another change of the same configuration version was accepted first. */
	CONFIG_CONFLICT(3009, 409),

	/** No upstream of the service is available. */
	NO_UPSTREAM(4001, 503),

	/** The queue of the service is full or the expected wait exceeds the deadline. */
	OVERLOADED(4002, 503),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(4003, 504),

	/** An upstream failed or its connection was lost. */
	UPSTREAM_FAILED(4004, 502),

	/** An upstream ended a stream without its end marker. */
	STREAM_INCOMPLETE(4005, 502),

	/** An upstream rejected the request as invalid. */
	UPSTREAM_REJECTED(4006, 422),

	/** An upstream rejected a command with a stale fencing token. */
	COMMAND_FENCED(4007, 409),

	/** The host is stopping and accepts no new work. */
	STOPPING(4008, 503),

	/** The request is quarantined because it crashed upstreams. */
	QUARANTINED(4291, 422),

	/** The platform did not apply the operation. */
	PLATFORM_UNAVAILABLE(5001, 503),

	/** The platform may have applied the operation. */
	PLATFORM_UNKNOWN(5002, 503),

	/** A record of the log cannot be decoded. */
	RECORD_INVALID(5003, 500),

	/** The requested offset is no longer retained. */
	OFFSET_EXPIRED(5004, 410),

	/** The condition of a conditional append no longer holds. */
	APPEND_CONFLICT(5005, 409),

	/** A peer cannot be reached. */
	PEER_UNREACHABLE(6001, 503),

	/** A peer message is malformed. */
	PEER_MESSAGE_INVALID(6002, 400),

	/** This host does not own the partition. */
	NOT_OWNER(6003, 503),

	/** A peer does not support this kind of message. */
	PEER_UNSUPPORTED(6004, 501),

	/** The certificate of a peer was not issued to the host that it claims to be. */
	PEER_IDENTITY_INVALID(6005, 403),

	/** The queue or write buffer of the connection to a peer is full. */
	PEER_OVERLOADED(6006, 503),

	/** An unexpected internal failure. */
	INTERNAL(9001, 500);

	private final int number;

	private final int httpStatus;

	ErrorCode(int number, int httpStatus) {
		this.number = number;
		this.httpStatus = httpStatus;
	}

	/**
	 * Returns the stable code.
	 * @return the code, such as {@code WG-4291}
	 */
	public String getCode() {
		return "WG-" + this.number;
	}

	/**
	 * Finds the constant of a code, which a newer peer may have sent.
	 * @param text the text of the code, such as {@code WG-4291}
	 * @return the constant, empty if this version does not define it
	 */
	public static Optional<ErrorCode> find(String text) {
		return Arrays.stream(values()).filter((c) -> c.getCode().equals(text)).findFirst();
	}

	/**
	 * Returns the HTTP status of the response to a caller.
	 * @return a status from 400 to 599
	 */
	public int getHttpStatus() {
		return this.httpStatus;
	}

}
