package org.wigeonglade.bench.fleet;

import java.time.Duration;
import java.util.List;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Holds what to measure.
 *
 * @param sizes the numbers of hosts, each from 2 to 64
 * @param upstreams the upstreams that each host tells the load of
 * @param idle how long the cost of control is measured
 * @param warmUp how long a fleet runs before its cost is measured
 * @param publications the number of configuration changes for each size
 */
public record FleetOptions(List<Integer> sizes, int upstreams, Duration idle, Duration warmUp, int publications) {

	private static final int MAX_HOSTS = 64;

	/**
	 * Creates the options with a copy of the sizes.
	 * @throws InvalidRequestException if a size is out of range
	 */
	public FleetOptions {
		sizes = List.copyOf(sizes);
		if (sizes.isEmpty() || sizes.stream().anyMatch((n) -> n < 2 || n > MAX_HOSTS)) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"sizes must be from 2 to " + MAX_HOSTS + " hosts but are " + sizes);
		}
	}

	/**
	 * Returns the sizes up to one failure domain of the target size.
	 * @return the options
	 */
	public static FleetOptions defaults() {
		return new FleetOptions(List.of(6, 12, 24, 44), 12, Duration.ofSeconds(10), Duration.ofSeconds(5), 5);
	}

	/**
	 * Returns a copy with other sizes.
	 * @param values the numbers of hosts
	 * @return the copy
	 */
	public FleetOptions withSizes(List<Integer> values) {
		return new FleetOptions(values, this.upstreams, this.idle, this.warmUp, this.publications);
	}

	/**
	 * Returns a copy with another measuring time.
	 * @param value the time, not null
	 * @return the copy
	 */
	public FleetOptions withIdle(Duration value) {
		return new FleetOptions(this.sizes, this.upstreams, value, this.warmUp, this.publications);
	}

}
