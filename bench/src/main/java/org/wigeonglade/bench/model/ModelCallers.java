package org.wigeonglade.bench.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;

import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.gateway.fleet.DecayedWorkspaceRates;
import org.wigeonglade.gateway.fleet.OverloadPolicy;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RequestAdmission;
import org.wigeonglade.gateway.fleet.RequestClass;

/**
 * The workspaces of a model, the classes of their requests, and the admission policy of
 * each host.
 */
final class ModelCallers {

	/** Sizes of requests, in ten steps from the smallest to the largest. */
	static final int SIZES = 10;

	private static final int SMALLEST_SIZE = 200;

	private static final int LARGEST_SIZE = 13_000;

	/** Rate limit of a workspace as a multiple of its usual rate. */
	private static final double LIMIT_FACTOR = 1.6;

	private final ModelContention contention;

	private final List<WorkspaceId> ids = new ArrayList<>();

	private final PlacementPolicy placement;

	private final double[] shares;

	private final List<DecayedWorkspaceRates> rates = new ArrayList<>();

	private final List<OverloadPolicy> policies = new ArrayList<>();

	ModelCallers(ModelOptions options, PlacementPolicy placement, Random random) {
		this.placement = placement;
		this.contention = options.contention();
		this.shares = new double[this.contention.workspaces()];
		for (int i = 0; i < this.shares.length; i++) {
			this.ids.add(WorkspaceId.of(Integer.toString(i)));
			this.shares[i] = this.contention.getUsualShare(i);
		}
		for (int i = 0; i < options.hosts(); i++) {
			this.rates.add(new DecayedWorkspaceRates(
					(id) -> LIMIT_FACTOR * options.streamsPerSecond() * this.shares[Integer.parseInt(id.value())]));
			this.policies.add(new OverloadPolicy(random, this.rates.get(i)));
		}
	}

	// Returns the rate of all callers relative to the usual one.
	double getRateFactor(double nowMillis) {
		double flood = (this.shares.length > 0) ? this.shares[0] * (this.contention.getFloodFactor(nowMillis) - 1) : 0;
		return this.contention.getBurstFactor(nowMillis) * (1 + flood);
	}

	// Gives a stream its class and admission; its size grows with the slot time from 0 to
	// 1.
	void classify(ModelWork stream, double slotTime, double nowMillis, Random random) {
		RequestClass drawn = draw(slotTime, nowMillis, random);
		boolean admits = this.contention.admission() != ModelContention.Admission.NONE;
		stream.classify(drawn, new RequestAdmission(this.policies.get(stream.getHost()), this.placement,
				admits ? drawn : RequestClass.DEFAULT));
	}

	private RequestClass draw(double slotTime, double nowMillis, Random random) {
		Optional<Long> size = Optional
			.of(Math.round(SMALLEST_SIZE * Math.pow((double) LARGEST_SIZE / SMALLEST_SIZE, slotTime)));
		if (this.shares.length == 0) {
			return RequestClass.of(0, Optional.empty(), OptionalInt.empty(), size);
		}
		double flood = this.shares[0] * (this.contention.getFloodFactor(nowMillis) - 1);
		double position = random.nextDouble() * (1 + flood) - flood;
		int chosen = 0;
		for (int i = 0; i < this.shares.length - 1 && position >= this.shares[i]; i++) {
			position -= this.shares[i];
			chosen = i + 1;
		}
		return RequestClass.of(chosen % this.contention.urgencies(), Optional.of(this.ids.get(chosen)),
				OptionalInt.empty(), size);
	}

	static int sizeStep(RequestClass request) {
		double position = Math.log((double) request.size().orElseThrow() / SMALLEST_SIZE)
				/ Math.log((double) LARGEST_SIZE / SMALLEST_SIZE);
		return (int) Math.min(SIZES - 1.0, Math.floor(SIZES * position));
	}

	// Other hosts are told of a request that was sent.
	void tellOthers(ModelWork stream, long nowMillis) {
		for (int host = 0; host < this.policies.size(); host++) {
			if (host != stream.getHost()) {
				this.policies.get(host).recordSent(stream.getRequestClass(), nowMillis);
			}
		}
	}

}
