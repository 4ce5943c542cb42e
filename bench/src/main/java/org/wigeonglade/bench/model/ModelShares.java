package org.wigeonglade.bench.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The shares of streams that were served in time, by workspace, urgency and size.
 */
final class ModelShares {

	private final ModelContention contention;

	private final Tally all = new Tally();

	private final Tally returned = new Tally();

	private final Tally[] workspaces;

	private final Tally[] urgencies;

	private final Tally[] sizes;

	ModelShares(ModelContention contention) {
		this.contention = contention;
		this.workspaces = tallies(contention.workspaces());
		this.urgencies = tallies(contention.urgencies());
		this.sizes = tallies(ModelCallers.SIZES);
	}

	void arrived(ModelWork stream) {
		add(stream, false);
	}

	void servedInTime(ModelWork stream) {
		add(stream, true);
		if (stream.isSecondVisit() && this.contention.isCounted(stream.getArrivedMillis())) {
			this.returned.served++;
		}
	}

	void returned(ModelWork stream) {
		this.returned.arrived += this.contention.isCounted(stream.getArrivedMillis()) ? 1 : 0;
	}

	Map<String, Number> getFigures() {
		Map<String, Number> figures = new LinkedHashMap<>();
		figures.put("window_streams", this.all.arrived);
		figures.put("served_share", this.all.getShare());
		figures.put("served_share_returned", this.returned.getShare());
		for (int i = 0; i < this.urgencies.length; i++) {
			figures.put("served_share_urgency_" + i, this.urgencies[i].getShare());
		}
		figures.put("served_share_smallest", this.sizes[0].getShare());
		figures.put("served_share_largest", this.sizes[ModelCallers.SIZES - 1].getShare());
		boolean flood = this.contention.disturbances().contains(ModelContention.Disturbance.FLOOD);
		if (this.workspaces.length > 0) {
			figures.put("served_share_first_workspace", this.workspaces[0].getShare());
		}
		for (int urgency = 0; urgency < this.urgencies.length; urgency++) {
			addWorkspaces(figures, urgency, flood ? 1 : 0);
		}
		return figures;
	}

	// A workspace that floods is not below its limit and left out.
	private void addWorkspaces(Map<String, Number> figures, int urgency, int first) {
		List<Double> shares = new ArrayList<>();
		Tally sum = new Tally();
		for (int i = first; i < this.workspaces.length; i++) {
			if (i % this.urgencies.length == urgency) {
				shares.add(this.workspaces[i].getShare());
				sum.arrived += this.workspaces[i].arrived;
				sum.served += this.workspaces[i].served;
			}
		}
		if (!shares.isEmpty()) {
			shares.sort(null);
			double worst = shares.subList(0, Math.max(1, shares.size() / 10))
				.stream()
				.mapToDouble(Double::doubleValue)
				.average()
				.orElseThrow();
			figures.put("served_share_below_limit_urgency_" + urgency, sum.getShare());
			figures.put("least_workspace_ratio_urgency_" + urgency, shares.get(0) / Math.max(1e-9, sum.getShare()));
			figures.put("worst_tenth_behind_mean_urgency_" + urgency, sum.getShare() - worst);
		}
	}

	private void add(ModelWork stream, boolean served) {
		if (!this.contention.isCounted(stream.getArrivedMillis())) {
			return;
		}
		this.all.add(served);
		this.urgencies[stream.getRequestClass().urgency()].add(served);
		this.sizes[ModelCallers.sizeStep(stream.getRequestClass())].add(served);
		stream.getRequestClass()
			.workspace()
			.ifPresent((id) -> this.workspaces[Integer.parseInt(id.value())].add(served));
	}

	private static Tally[] tallies(int count) {
		Tally[] tallies = new Tally[count];
		Arrays.setAll(tallies, (i) -> new Tally());
		return tallies;
	}

	private static final class Tally {

		private int arrived;

		private int served;

		void add(boolean wasServed) {
			this.arrived += wasServed ? 0 : 1;
			this.served += wasServed ? 1 : 0;
		}

		double getShare() {
			return (double) this.served / Math.max(1, this.arrived);
		}

	}

}
