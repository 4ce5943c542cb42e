package org.wigeonglade.gateway.route;

import org.wigeonglade.core.id.ServiceName;

/**
 * A service with its weight in the traffic split of a route.
 *
 * @param service the service, not null
 * @param weight the weight relative to the other services of the route, at least 0
 */
public record ServiceShare(ServiceName service, int weight) {

}
