package org.wigeonglade.gateway.runner;

import java.time.Duration;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as it is sent to a runner.
 *
 * @param id the id that the runner repeats in its answer, not null
 * @param method the method, not null
 * @param uri the path and query, not null
 * @param headers the headers without those of a single connection, not null
 * @param body the body, not null
 * @param remaining the time that the caller still waits, not null
 * @param resumeAfter the last event that the caller has, empty to start at the first
 * @param batch whether it is a batch item
 * @param freshConnection whether it must not use a connection that has been idle
 */
public record RunnerRequest(String id, HttpMethod method, String uri, HttpHeaders headers, byte[] body,
		Duration remaining, OptionalLong resumeAfter, boolean batch, boolean freshConnection) {

}
