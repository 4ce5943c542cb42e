package org.wigeonglade.entry.online;

import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

import org.wigeonglade.core.route.Endpoint;

/**
 * Chooses the runner of an online request. Policies other than the default are baselines
 * for benchmarks.
 */
@FunctionalInterface
public interface EndpointPolicy {

	/**
	 * Chooses a runner among those that serve the model.
	 * @param candidates the candidates, not null
	 * @param prefix the affinity key of the prompt, not null
	 * @param random returns a random number from 0, inclusive, to its argument, exclusive
	 * @return the chosen candidate, empty if none has capacity
	 */
	Optional<Endpoint> choose(List<Endpoint> candidates, String prefix, IntUnaryOperator random);

}
