package org.wigeonglade.gateway.workspace;

import java.time.Duration;

/**
 * Whether a request of a workspace fits its usage limit.
 */
public sealed interface UsageDecision {

	/**
	 * The request may run and has been charged.
	 */
	record Admit() implements UsageDecision {

	}

	/**
	 * The request exceeds the limit and has not been charged.
	 *
	 * @param retryAfter the time after which the caller may retry, positive, not null
	 */
	record Reject(Duration retryAfter) implements UsageDecision {

	}

}
