package org.wigeonglade.gateway.runner;

import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.wigeonglade.gateway.stream.StreamBinding;
import org.wigeonglade.gateway.workspace.RequestIdentity;

/**
 * A request to a runner.
 *
 * @param id the id that the runner repeats in its response, not null
 * @param method the method, not null
 * @param uri the path and query, not null
 * @param headers the headers without hop-by-hop headers, not null
 * @param body the body, not null
 * @param deadlineMillis the monotonic time in milliseconds at which its time limit ends
 * @param resumeAfter the id of the last event received, empty to start at the first event
 * @param binding the runners that may produce the next event, empty if the response is
 * not a stream
 * @param batch whether it is a batch item rather than an online request
 * @param identity on whose behalf it is made, not null
 * @param freshConnection whether it must be sent on a new connection
 * @param tokens the stated size in tokens, 0 if it is not known
 */
public record RunnerRequest(String id, HttpMethod method, String uri, HttpHeaders headers, byte[] body,
		long deadlineMillis, OptionalLong resumeAfter, Optional<StreamBinding> binding, boolean batch,
		RequestIdentity identity, boolean freshConnection, long tokens) {

}
