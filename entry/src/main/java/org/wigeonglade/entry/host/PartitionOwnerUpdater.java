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
 * Passes the partition owners reported in digests to the batch runtime. Not thread-safe.
 */
final class PartitionOwnerUpdater {

	private final BatchRuntime batch;

	private final FleetViewSource fleet;

	private final FleetLoadSource load;

	private final ConfigurationSource configuration;

	private FleetLoad lastLoad;

	PartitionOwnerUpdater(BatchRuntime batch, FleetViewSource fleet, FleetLoadSource load,
			ConfigurationSource configuration) {
		this.batch = batch;
		this.fleet = fleet;
		this.load = load;
		this.configuration = configuration;
	}

	void update() {
		FleetLoad current = this.load.currentLoad();
		if (current == this.lastLoad) {
			return;
		}
		this.lastLoad = current;
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
		byHost.forEach(this.batch::updatePartitionOwners);
	}

}
