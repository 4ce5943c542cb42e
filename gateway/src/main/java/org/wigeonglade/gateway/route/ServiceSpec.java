package org.wigeonglade.gateway.route;

import org.wigeonglade.core.id.ServiceName;

/**
 * A service that requests are sent to.
 *
 * @param name the name, not null
 * @param maxConnections the largest number of connections that one runner accepts from
 * all callers together
 */
public record ServiceSpec(ServiceName name, int maxConnections) {

}
