package org.wigeonglade.gateway.store;

import java.time.Duration;

/**
 * How often a stream is read.
 *
 * @param interval the shortest time from one read to the next, not null
 * @param longestWait the longest time that a read waits for a record, not null
 */
public record FollowPace(Duration interval, Duration longestWait) {

}
