package org.wigeonglade.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * The policy of admission under overload: decides whether an online request may compete
 * for the remaining capacity of its service or is rejected at once, before
 * {@link PlacementPolicy} places it. It does no input or output. Each host decides for
 * itself on the loads that all hosts share.
 * <ul>
 * <li>The room is the number of requests that can start at once or queue and be on time.
 * Requests are rejected only when it falls below a margin of {@value #MARGIN_MILLIS} ms
 * of completions.</li>
 * <li>The margin is divided into one band for each active urgency, the most urgent in the
 * lowest one. Requests are rejected with a growing probability as the room shrinks within
 * their band, and all of them below it, so what remains is reserved for more urgent
 * ones.</li>
 * <li>Within an urgency, the probability depends on what the workspace has had lately in
 * relation to its entitled share: those above their share are rejected first. Requests
 * that were rejected do not count as use, so a caller that returns is not treated
 * worse.</li>
 * <li>Where there are neither workspaces nor several urgencies, all requests
 * compete.</li>
 * </ul>
 * Sizes do not decide: large requests get the same share as small ones. Not thread-safe.
 */
public final class OverloadPolicy {

	/** The margin in milliseconds of completions: several times the lag of reports. */
	private static final double MARGIN_MILLIS = 100;

	/** Lower bound of the margin as a share of the slots, for slow requests. */
	private static final double MIN_MARGIN_SHARE = 1 / 16.0;

	/** Upper bound of the margin as a share of the slots, for fast requests. */
	private static final double MAX_MARGIN_SHARE = 1 / 4.0;

	/**
	 * Position in a band, from 0 to 1, below which a workspace at its share gives way.
	 */
	private static final double FAIR_POSITION = 0.5;

	/**
	 * Exponent of the admission probability. Use is what was admitted; with 3, a
	 * workspace that sends x times its share is admitted x^0.75 times less often.
	 */
	private static final double EXPONENT = 3;

	/**
	 * Admission probability of any workspace relative to the share that was admitted
	 * lately; above a quarter, which is the least that a workspace is to be served.
	 */
	private static final double MIN_RELATIVE_PROBABILITY = 0.3;

	/**
	 * Use relative to the share that is assumed for this least probability as an upper
	 * bound, so that it falls to 0 with the room.
	 */
	private static final double LEAST_RELATIVE_USE = 0.5;

	/** Bound of the services with state of their own; configurations have a few. */
	private static final int MAX_SERVICES = 256;

	private final RandomGenerator random;

	private final WorkspaceRates rates;

	private final OverloadRetry retry;

	private final Map<ServiceName, ActiveUrgencies> urgencies = new HashMap<>();

	/**
	 * Creates a policy.
	 * @param random the source of random numbers, not null
	 * @param rates the recent use of each workspace, not null
	 */
	public OverloadPolicy(RandomGenerator random, WorkspaceRates rates) {
		this.random = random;
		this.rates = rates;
		this.retry = new OverloadRetry(random);
	}

	/**
	 * Decides whether a request is rejected at once.
	 * @param request the class of the request, not null
	 * @param candidates the runners of its service that accept requests, not null
	 * @param constraints the timing constraints of the request, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the rejection, empty if the request is to be placed
	 */
	public Optional<Placement.Refuse> findRejection(RequestClass request, List<Candidate> candidates,
			RequestConstraints constraints, long nowMillis) {
		if (candidates.isEmpty() || !constraints.refusable()) {
			return Optional.empty();
		}
		ActiveUrgencies active = findUrgencies(candidates.get(0).entry().service());
		ActiveUrgencies.Demand demand = active.record(request.urgency(), nowMillis);
		if (active.getCount() == 1 && request.workspace().isEmpty()) {
			return Optional.empty();
		}
		ServiceCapacity capacity = ServiceCapacity.of(candidates, constraints);
		double margin = getMargin(capacity);
		if (capacity.getRoom() >= margin) {
			return Optional.empty();
		}
		double position = capacity.getRoom() / margin * active.getCount() - active.getRank(request.urgency());
		if (capacity.shortestCompletionMillis() > constraints.untilDeadline().toMillis()) {
			return Optional.of(reject(Placement.Cause.DEADLINE_UNREACHABLE, capacity, constraints));
		}
		if (position <= 0 && active.getRank(request.urgency()) > 0) {
			return Optional.of(reject(Placement.Cause.LESS_URGENT, capacity, constraints));
		}
		double relativeUse = request.workspace().map((workspace) -> getRelativeUse(workspace, nowMillis)).orElse(1.0);
		double least = Math.min(MIN_RELATIVE_PROBABILITY * demand.getAdmittedShare(nowMillis),
				getProbability(position, LEAST_RELATIVE_USE));
		boolean admitted = this.random.nextDouble() < Math.max(least, getProbability(position, relativeUse));
		demand.recordDecision(admitted, nowMillis);
		if (admitted) {
			return Optional.empty();
		}
		return Optional.of(reject((relativeUse > 1) ? Placement.Cause.OVER_FAIR_SHARE : Placement.Cause.OVERLOADED,
				capacity, constraints));
	}

	/**
	 * Records that a request was sent to a runner for the first time.
	 * @param request the class of the request, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void recordSent(RequestClass request, long nowMillis) {
		request.workspace().ifPresent((workspace) -> this.rates.record(workspace, 1, nowMillis));
	}

	private Placement.Refuse reject(Placement.Cause cause, ServiceCapacity capacity, RequestConstraints constraints) {
		double missingRoom = getMargin(capacity) - capacity.getRoom();
		return new Placement.Refuse(cause,
				this.retry.draw(missingRoom / capacity.completionsPerMilli(), constraints.untilDeadline()));
	}

	private static double getProbability(double position, double relativeUse) {
		double level = Math.max(0, position) / FAIR_POSITION / relativeUse;
		return Math.min(1, Math.pow(level, EXPONENT));
	}

	// The recent requests of the workspace relative to its entitled share of all recent
	// requests; 1 for a workspace that has had its share.
	private double getRelativeUse(WorkspaceId workspace, long nowMillis) {
		double share = this.rates.getEntitledShare(workspace, nowMillis);
		double fair = share * this.rates.getTotalRate(nowMillis) * WorkspaceRates.WINDOW_SECONDS;
		double used = this.rates.getRate(workspace, nowMillis) * WorkspaceRates.WINDOW_SECONDS;
		double prior = WorkspaceRates.PRIOR_REQUESTS;
		return (used + prior * this.rates.getTypicalUse(nowMillis)) / (fair + prior);
	}

	private static double getMargin(ServiceCapacity capacity) {
		double margin = capacity.completionsPerMilli() * MARGIN_MILLIS;
		return Math.max(capacity.slots() * MIN_MARGIN_SHARE, Math.min(capacity.slots() * MAX_MARGIN_SHARE, margin));
	}

	private ActiveUrgencies findUrgencies(ServiceName service) {
		if (this.urgencies.size() >= MAX_SERVICES && !this.urgencies.containsKey(service)) {
			this.urgencies.clear();
		}
		return this.urgencies.computeIfAbsent(service, (name) -> new ActiveUrgencies());
	}

}
