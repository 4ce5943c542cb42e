package org.wigeonglade.gateway.fleet;

import java.util.List;
import java.util.Optional;

/**
 * The admission and placement of one online request. A request that was sent to a runner
 * once keeps its admission for further attempts. Not thread-safe.
 */
public final class RequestAdmission {

	private final OverloadPolicy overload;

	private final PlacementPolicy placement;

	private final RequestClass request;

	private boolean admitted;

	/**
	 * Creates the admission of a request that was not sent yet.
	 * @param overload decides who is rejected when capacity is short, not null
	 * @param placement chooses the runner, not null
	 * @param request the class of the request, not null
	 */
	public RequestAdmission(OverloadPolicy overload, PlacementPolicy placement, RequestClass request) {
		this.overload = overload;
		this.placement = placement;
		this.request = request;
	}

	/**
	 * Places the request, unless it is rejected at once.
	 * @param candidates the runners of its service that accept requests, not null
	 * @param constraints the timing constraints of the request, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the placement, never null
	 */
	public Placement place(List<Candidate> candidates, RequestConstraints constraints, long nowMillis) {
		if (this.admitted) {
			return this.placement.place(candidates, constraints);
		}
		Optional<Placement.Refuse> rejection = this.overload.findRejection(this.request, candidates, constraints,
				nowMillis);
		if (rejection.isPresent()) {
			return rejection.get();
		}
		Placement placed = this.placement.place(candidates, constraints);
		if (placed instanceof Placement.Send) {
			this.admitted = true;
			this.overload.recordSent(this.request, nowMillis);
		}
		return placed;
	}

}
