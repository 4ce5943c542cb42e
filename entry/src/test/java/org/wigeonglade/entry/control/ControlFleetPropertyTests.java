package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.quicktheories.QuickTheory;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.config.AcceptedChange;
import org.wigeonglade.core.id.HostId;

/**
 * Guards against faults of configuration publishing that occur only in combinations of
 * concurrent changes, cut links, platform outages, lost responses, pauses and restarts: a
 * version that decreases on a host, and an accepted change that is lost or accepted
 * twice.
 */
public class ControlFleetPropertyTests {

	private static final long SEED = 20_260_102L;

	private static final int HOSTS = 5;

	private static final int ACTIONS = 8;

	@Test
	void hostsConvergeOnOneHistoryAfterAnySequenceOfFaults() {
		QuickTheory.qt()
			.withFixedSeed(SEED)
			.withExamples(150)
			.withShrinkCycles(0)
			.forAll(SourceDSL.lists().of(SourceDSL.integers().between(0, ACTIONS * HOSTS - 1)).ofSizeBetween(5, 40))
			.checkAssert(ControlFleetPropertyTests::check);
	}

	private static void check(List<Integer> script) {
		SimulatedFleet fleet = new SimulatedFleet(HOSTS);
		List<SimulatedFleet.Outcome<?>> outcomes = new ArrayList<>();
		fleet.run(Duration.ofSeconds(2));
		for (int i = 0; i < script.size(); i++) {
			apply(fleet, script.get(i), i, outcomes);
			fleet.run(Duration.ofMillis(300));
		}
		fleet.getNetwork().healAll();
		fleet.getPlatform().setOutage(false);
		fleet.getHosts().forEach((h) -> fleet.getPlatform().setUnreachable(h, false));
		fleet.getHosts().forEach((h) -> fleet.setPaused(h, false));
		fleet.run(Duration.ofSeconds(7));
		List<AcceptedChange> history = fleet.get("h0").getHistory();
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(HOSTS, (long) history.size()));
		fleet.getHosts().forEach((h) -> Assert.assertEquals(fleet.get(h.value()).getHistory(), history));
		for (int i = 0; i < outcomes.size(); i++) {
			if (outcomes.get(i).getItem() != null) {
				AcceptedChange accepted = (AcceptedChange) outcomes.get(i).getItem();
				Assert.assertTrue(history.contains(accepted), accepted + " is missing from " + history);
			}
		}
		Assert.assertEquals(history.stream().map(AcceptedChange::author).distinct().count(), history.size());
	}

	private static void apply(SimulatedFleet fleet, int action, int step, List<SimulatedFleet.Outcome<?>> outcomes) {
		HostId host = HostId.of("h" + action % HOSTS);
		HostId other = HostId.of("h" + (action + 1 + step) % HOSTS);
		switch (action / HOSTS) {
			case 0, 1, 2 -> {
				long base = fleet.get(host.value()).getConfigurationSource().current().version();
				outcomes.add(fleet.publish(host.value(), base, "author-" + step));
			}
			case 3 -> fleet.getNetwork().cut(host, other);
			case 4 -> fleet.getPlatform().setUnreachable(host, step % 2 == 0);
			case 5 -> fleet.getPlatform().loseResponses(1);
			case 6 -> fleet.setPaused(host, step % 2 == 0);
			default -> fleet.start(host, step, 1_600_000_000_000L + step);
		}
	}

}
