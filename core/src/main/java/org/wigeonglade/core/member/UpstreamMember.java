package org.wigeonglade.core.member;

import java.util.List;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;

/**
 * Upstream in the membership view.
 *
 * @param id the name
 * @param incarnation the incarnation, which grows with each start at the same address
 * @param service the service that it provides
 * @param domain the failure domain
 * @param region the region
 * @param address {@code ip:port}
 * @param runner true for a model engine, false for a plain service
 * @param models the models that a runner has loaded
 * @param leaving whether it must not be given new work
 */
public record UpstreamMember(UpstreamId id, long incarnation, ServiceName service, FailureDomain domain, Region region,
		String address, boolean runner, List<String> models, boolean leaving) {

	/**
	 * Creates the member with a copy of the models.
	 */
	public UpstreamMember {
		models = List.copyOf(models);
	}

}
