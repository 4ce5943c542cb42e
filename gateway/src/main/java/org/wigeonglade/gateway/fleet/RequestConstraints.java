package org.wigeonglade.gateway.fleet;

import java.time.Duration;

/**
 * The timing constraints of an online request.
 *
 * @param untilTarget the time left until the latency target of the response or, for a
 * stream, of its first event; negative once the target is missed
 * @param untilDeadline the time left until the caller's deadline
 * @param refusable whether the request may be refused as not executed: no runner has
 * started it, nor the stream that it resumes
 */
public record RequestConstraints(Duration untilTarget, Duration untilDeadline, boolean refusable) {

}
