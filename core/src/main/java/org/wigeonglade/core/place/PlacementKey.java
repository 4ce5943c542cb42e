package org.wigeonglade.core.place;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * Unit of placement: the runners of one service in one failure domain, whose models one
 * lease holder assigns.
 *
 * @param service the service
 * @param domain the failure domain
 */
public record PlacementKey(ServiceName service, FailureDomain domain) {

	@Override
	public String toString() {
		return this.service + "/" + this.domain;
	}

}
