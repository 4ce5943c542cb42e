package org.wigeonglade.entry.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetLoad;
import org.wigeonglade.core.member.FleetLoadSource;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.settings.BudgetConfiguration;

/**
 * Passes the owners of partitions, as digests tell them, to the batch runtime. Runs on
 * one thread.
 */
final class OwnerObserver {

	private final BatchRuntime batch;

	private final FleetViewSource fleet;

	private final FleetLoadSource load;

	private final ConfigurationSource configuration;

	private FleetLoad seen;

	OwnerObserver(BatchRuntime batch, FleetViewSource fleet, FleetLoadSource load, ConfigurationSource configuration) {
		this.batch = batch;
		this.fleet = fleet;
		this.load = load;
		this.configuration = configuration;
	}

	void observe() {
		FleetLoad current = this.load.currentLoad();
		if (current == this.seen) {
			return;
		}
		this.seen = current;
		Map<HostId, List<PartitionView>> byHost = new HashMap<>();
		for (HostMember host : this.fleet.current().hosts()) {
			byHost.put(host.id(), new ArrayList<>());
		}
		BudgetConfiguration budgets = this.configuration.current().body().getBudgets();
		int partitions = ((budgets != null) ? budgets : new BudgetConfiguration()).getPartitions();
		for (int i = 0; i < partitions; i++) {
			int partition = i;
			current.getOwner(partition)
				.ifPresent((owner) -> byHost.computeIfAbsent(owner.host(), (h) -> new ArrayList<>())
					.add(PartitionView.newBuilder()
						.setPartition(partition)
						.setTerm(owner.term())
						.setPendingItems(owner.pendingItems())
						.setHeadOffset(owner.headOffset())
						.build()));
		}
		byHost.forEach(this.batch::observePartitions);
	}

}
