package org.wigeonglade.core.platform;

import java.util.List;

/**
 * Entry of the host list.
 *
 * @param name the name, unique in the list
 * @param role the role of the machine
 * @param address the address as {@code ip:port}; for an entry host that of its peer
 * listener
 * @param failureDomain the failure domain
 * @param region the region
 * @param service the service of an upstream, empty for an entry host
 * @param models the models that a runner has loaded
 * @param incarnation the incarnation, which grows with each start at the same address
 * @param leaving whether the machine is about to leave
 */
public record ListedHost(String name, HostRole role, String address, String failureDomain, String region,
		String service, List<String> models, long incarnation, boolean leaving) {

	/**
	 * Creates the entry with a copy of the models.
	 */
	public ListedHost {
		models = List.copyOf(models);
	}

}
