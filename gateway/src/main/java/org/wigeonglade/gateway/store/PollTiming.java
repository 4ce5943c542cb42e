package org.wigeonglade.gateway.store;

import java.time.Duration;

/**
 * Polling parameters of a stream follower.
 *
 * @param interval the minimum time between the starts of two reads once the end of the
 * stream has been reached, not null
 * @param maxWait the maximum time that a read waits for a record (long poll), not null;
 * zero to return at once
 */
public record PollTiming(Duration interval, Duration maxWait) {

}
