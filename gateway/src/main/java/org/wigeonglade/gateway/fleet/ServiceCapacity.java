package org.wigeonglade.gateway.fleet;

import java.util.List;

/**
 * The capacity of a service for further online requests, over all its runners.
 *
 * @param slots the slots of the runners
 * @param immediate the requests that can start at once, on idle slots or on those of
 * batch items
 * @param queued the further requests that can be queued and still be on time
 * @param completionsPerMilli the rate at which requests are completed while all slots are
 * occupied
 * @param shortestCompletionMillis the expected time in milliseconds until a further
 * request is complete at the runner with the shortest queue; infinite if there is no
 * runner
 */
record ServiceCapacity(int slots, int immediate, int queued, double completionsPerMilli,
		double shortestCompletionMillis) {

	static ServiceCapacity of(List<Candidate> candidates, RequestConstraints constraints) {
		int slots = 0;
		int immediate = 0;
		int queued = 0;
		double completions = 0;
		double shortest = Double.POSITIVE_INFINITY;
		for (Candidate candidate : PlacementPolicy.preferHealthy(candidates)) {
			int starting = Math.max(PlacementPolicy.getFreeCapacity(candidate),
					PlacementPolicy.getPreemptibleCapacity(candidate));
			int onTime = PlacementPolicy.getOnTimeCapacity(candidate, constraints,
					PlacementPolicy.WAIT_SAFETY_FACTOR_WITH_LAG);
			double holdMillis = Math.max(1, candidate.meanHoldTime().toMillis());
			slots += candidate.entry().slots();
			immediate += starting;
			queued += Math.max(0, onTime - starting);
			completions += candidate.entry().slots() / holdMillis;
			shortest = Math.min(shortest, Math.max(0, candidate.getQueueMillis()) + holdMillis);
		}
		return new ServiceCapacity(slots, immediate, queued, completions, shortest);
	}

	int getRoom() {
		return this.immediate + this.queued;
	}

}
