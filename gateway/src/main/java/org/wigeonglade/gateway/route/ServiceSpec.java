package org.wigeonglade.gateway.route;

import java.util.OptionalLong;

import org.wigeonglade.core.id.ServiceName;

/**
 * The configuration of a service.
 *
 * @param name the name, not null
 * @param maxConnections the maximum number of connections that one runner accepts from
 * all of its clients together
 * @param kvCapacityTokens the memory of one runner in tokens, which the requests that it
 * runs or queues must not exceed; empty if it is not accounted for
 */
public record ServiceSpec(ServiceName name, int maxConnections, OptionalLong kvCapacityTokens) {

}
