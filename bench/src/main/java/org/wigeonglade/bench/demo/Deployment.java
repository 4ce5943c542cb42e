package org.wigeonglade.bench.demo;

import java.util.List;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Describes the size and the network of a fleet. Immutable.
 *
 * @param name the name
 * @param region the region
 * @param domains the failure domains
 * @param hosts the number of entry hosts
 * @param modelService the service that runners serve
 * @param runners the number of runners
 * @param plainService the plain service
 * @param plainUpstreams the number of its upstreams
 * @param domainLatencyMicros the one-way latency between failure domains in microseconds
 * @param clientLatencyMicros the one-way latency to clients in microseconds
 */
public record Deployment(String name, String region, List<String> domains, int hosts, String modelService, int runners,
		String plainService, int plainUpstreams, long domainLatencyMicros, long clientLatencyMicros) {

	/** Families and parish gardeners in Finland. */
	public static final Deployment MUISTOPUU = new Deployment("muistopuu", "fi-south",
			List.of("fi-south-a", "fi-south-b", "fi-south-c"), 9, "runokieli", 6, "korttipalvelu", 3, 500, 1000);

	/** Franchise counters and head office in Argentina. */
	public static final Deployment PLATA = new Deployment("plata", "ar-centro",
			List.of("centro-a", "centro-b", "centro-c"), 9, "lm-rotulo", 13, "studio-app", 3, 1500, 3000);

	/**
	 * Creates the deployment with a copy of the domains.
	 */
	public Deployment {
		domains = List.copyOf(domains);
	}

	/**
	 * Finds a deployment.
	 * @param name the name, not null
	 * @return the deployment, never null
	 * @throws InvalidRequestException if there is no such deployment
	 */
	public static Deployment of(String name) {
		return switch (name) {
			case "muistopuu" -> MUISTOPUU;
			case "plata" -> PLATA;
			default -> throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"deployment must be muistopuu or plata but is '" + name + "'");
		};
	}

	/**
	 * Returns a deployment of another size on the same network.
	 * @param newHosts the number of entry hosts, at least 1
	 * @param newRunners the number of runners, at least 1
	 * @return the deployment, never null
	 */
	public Deployment withSize(int newHosts, int newRunners) {
		return new Deployment(this.name, this.region, this.domains, newHosts, this.modelService, newRunners,
				this.plainService, this.plainUpstreams, this.domainLatencyMicros, this.clientLatencyMicros);
	}

	/**
	 * Returns the failure domain of the n-th member; members are spread in turn.
	 * @param index the number of the member, from 0
	 * @return the failure domain, never null
	 */
	public String domainOf(int index) {
		return this.domains.get(index % this.domains.size());
	}

}
