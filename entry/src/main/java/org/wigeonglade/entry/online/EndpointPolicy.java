package org.wigeonglade.entry.online;

import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

import org.wigeonglade.core.route.Endpoint;

/**
 * Chooses the runner of an online request. Other policies than the default serve as
 * baselines of measurements.
 */
@FunctionalInterface
public interface EndpointPolicy {

	/**
	 * Chooses a candidate.
	 * @param candidates the candidates, not null
	 * @param prefix the affinity key of the prompt, not null
	 * @param random gives a number from 0 inclusive to its argument exclusive
	 * @return the chosen candidate, empty if none has room
	 */
	Optional<Endpoint> choose(List<Endpoint> candidates, String prefix, IntUnaryOperator random);

}
