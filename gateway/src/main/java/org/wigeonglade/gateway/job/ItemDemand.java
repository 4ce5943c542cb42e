package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.List;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.stream.StreamBinding;

/**
 * What an item needs a slot of. If there is none for one item, there is none for others
 * with the same demand.
 *
 * @param service the service, not null
 * @param binding the runners that fit the output of the item, not null
 * @param mayBeginAnew whether the item may discard its output and take a slot of any
 * runner of the service if none fits
 */
record ItemDemand(ServiceName service, StreamBinding binding, boolean mayBeginAnew) {

	/**
	 * Returns the demand of an item without output.
	 * @param service the service, not null
	 * @return a demand that any runner of the service fits, never null
	 */
	static ItemDemand ofNewItem(ServiceName service) {
		return new ItemDemand(service, new StreamBinding.Open(), false);
	}

	/**
	 * Returns the demand of an item with output. It waits for a runner of the version of
	 * its output, unless none is left or the wait is too long.
	 * @param service the service, not null
	 * @param binding the runners that fit the output, not null
	 * @param accepting the runners of the service that accept requests, not null
	 * @param waited the time since the last run, not null
	 * @param runTime the time that the output took, not null
	 * @return the demand, never null
	 */
	static ItemDemand ofResumedItem(ServiceName service, StreamBinding binding, List<Candidate> accepting,
			Duration waited, Duration runTime) {
		boolean departed = !accepting.isEmpty()
				&& accepting.stream().noneMatch((candidate) -> binding.permits(candidate.entry()));
		return new ItemDemand(service, binding, departed || ItemRetryPolicy.mayBeginAnew(waited, runTime));
	}

	/**
	 * Selects the runners that fit the output.
	 * @param candidates runners of the service, not null
	 * @return those that may continue the item, never null
	 */
	List<Candidate> selectFitting(List<Candidate> candidates) {
		return candidates.stream().filter((candidate) -> this.binding.permits(candidate.entry())).toList();
	}

}
