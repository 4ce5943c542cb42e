package org.wigeonglade.gateway.route;

import org.wigeonglade.core.id.ServiceName;

/**
 * The configuration of a service.
 *
 * @param name the name, not null
 * @param maxConnections the maximum number of connections that one runner accepts from
 * all of its clients together
 */
public record ServiceSpec(ServiceName name, int maxConnections) {

}
