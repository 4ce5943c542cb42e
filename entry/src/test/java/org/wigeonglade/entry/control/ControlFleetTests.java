package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.ConflictException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;

/**
 * Guards against configurations that are applied late, twice or not at all, versions that
 * decrease, and leaving upstreams that stay usable, under concurrent changes, network
 * partitions, platform outages, restarts and pauses. {@link SimulatedFleet} checks in
 * every step that the version of no host decreases.
 */
public class ControlFleetTests {

	private static final Duration SETTLE_TIME = Duration.ofSeconds(2);

	private static final Duration CONVERGENCE_LIMIT = Duration.ofSeconds(7);

	@Test
	void oneOfTwoConcurrentPublishersWinsAndTheConflictNamesIt() {
		SimulatedFleet fleet = newFleet(6);
		SimulatedFleet.Outcome<?> ana = fleet.publish("h0", 0, "ana");
		SimulatedFleet.Outcome<?> bea = fleet.publish("h5", 0, "bea");
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(6, 1L));
		Assert.assertTrue((ana.getItem() != null) != (bea.getItem() != null));
		ConflictException conflict = (ConflictException) ((ana.getFailure() != null) ? ana.getFailure()
				: bea.getFailure());
		Assert.assertEquals(conflict.getCode(), ErrorCode.CONFIG_CONFLICT);
		String winner = (ana.getItem() != null) ? "ana" : "bea";
		Assert.assertTrue(conflict.getMessage().contains("published by " + winner), conflict.getMessage());
		Assert.assertTrue(conflict.getMessage().contains("reason of " + winner), conflict.getMessage());
	}

	@Test
	void changeIsAcceptedAlthoughTheAppendResponseWasLost() {
		SimulatedFleet fleet = newFleet(3);
		fleet.getPlatform().loseResponses(1);
		SimulatedFleet.Outcome<?> ana = fleet.publish("h0", 0, "ana");
		fleet.run(SETTLE_TIME);
		Assert.assertNotNull(ana.getItem());
		Assert.assertEquals(fleet.getPlatform().getHeadOffset(ControlStreams.CONFIG), 1);
	}

	@Test
	void platformOutageIsReportedAndFailsPublishing() {
		SimulatedFleet fleet = newFleet(3);
		fleet.getPlatform().setOutage(true);
		SimulatedFleet.Outcome<?> ana = fleet.publish("h0", 0, "ana");
		fleet.run(SETTLE_TIME);
		Assert.assertEquals(((PlatformException) ana.getFailure()).getCode(), ErrorCode.PLATFORM_UNAVAILABLE);
		Assert.assertFalse(fleet.get("h0").getFleetViewSource().current().platformReachable());
	}

	@Test
	void baseVersionAboveTheCurrentOneIsRejected() {
		SimulatedFleet fleet = newFleet(2);
		SimulatedFleet.Outcome<?> ana = fleet.publish("h0", 4, "ana");
		fleet.run(SETTLE_TIME);
		Assert.assertTrue(ana.getFailure() instanceof InvalidRequestException);
	}

	@Test
	void hostsCutFromThePlatformFetchTheVersionFromPeers() {
		SimulatedFleet fleet = newFleet(6);
		fleet.forEachOther("h0", (h) -> fleet.getPlatform().setUnreachable(h, true));
		fleet.publish("h0", 0, "ana");
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(6, 1L));
		ConfigurationStatus status = fleet.get("h0").getConfigurationStatus();
		Assert.assertEquals(status.confirmed().size(), 6);
	}

	@Test
	void versionReachesAHostBehindOneWayPartitions() {
		SimulatedFleet fleet = newFleet(4);
		HostId cut = HostId.of("h3");
		fleet.getPlatform().setUnreachable(cut, true);
		fleet.getNetwork().cut(HostId.of("h0"), cut);
		fleet.getNetwork().cut(cut, HostId.of("h1"));
		fleet.publish("h0", 0, "ana");
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(4, 1L));
	}

	@Test
	void partitionedHostsKeepTheOldVersionAndCatchUpAfterwards() {
		SimulatedFleet fleet = newFleet(6);
		fleet.publish("h0", 0, "ana");
		fleet.run(CONVERGENCE_LIMIT);
		List<HostId> far = List.of(HostId.of("h4"), HostId.of("h5"));
		far.forEach((h) -> fleet.getPlatform().setUnreachable(h, true));
		far.forEach((h) -> fleet.getHosts().stream().filter((o) -> !far.contains(o)).forEach((o) -> {
			fleet.getNetwork().cut(h, o);
			fleet.getNetwork().cut(o, h);
		}));
		fleet.publish("h0", 1, "bea");
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertEquals(fleet.getVersions(), List.of(2L, 2L, 2L, 2L, 1L, 1L));
		Assert.assertEquals(fleet.get("h0").getConfigurationStatus().unreachable(), far);
		fleet.getNetwork().healAll();
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(6, 2L));
	}

	@Test
	void restartedHostsFetchTheVersionFromTheOnlyHostThatRemained() {
		SimulatedFleet fleet = newFleet(6);
		fleet.publish("h0", 0, "ana");
		fleet.run(CONVERGENCE_LIMIT);
		fleet.getPlatform().setOutage(true);
		// The wall clocks were set back before the restart, so that the incarnations are
		// lower than before.
		fleet.forEachOther("h2", (h) -> fleet.start(h, 0, 1_600_000_000_000L));
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(6, 1L));
		Assert.assertTrue(fleet.get("h0").isReady());
	}

	@Test
	void restartedHostIsNotReadyBeforeItHasReadTheVersion() {
		SimulatedFleet fleet = newFleet(3);
		fleet.publish("h0", 0, "ana");
		fleet.run(CONVERGENCE_LIMIT);
		fleet.getPlatform().setOutage(true);
		HostId alone = HostId.of("h0");
		fleet.forEachOther("h0", (h) -> {
			fleet.getNetwork().cut(alone, h);
			fleet.getNetwork().cut(h, alone);
		});
		fleet.start(alone, 2, 1_700_000_000_000L);
		fleet.run(Duration.ofSeconds(30));
		Assert.assertFalse(fleet.get("h0").isReady());
		fleet.getPlatform().setOutage(false);
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertTrue(fleet.get("h0").isReady());
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(3, 1L));
	}

	@Test
	void resumedHostKeepsItsMembersAndRejoins() {
		SimulatedFleet fleet = newFleet(4);
		HostId slow = HostId.of("h1");
		fleet.setPaused(slow, true);
		fleet.publish("h0", 0, "ana");
		fleet.run(Duration.ofSeconds(20));
		Assert.assertTrue(fleet.get("h0").getFleetViewSource().current().findHost(slow).isEmpty());
		fleet.setPaused(slow, false);
		fleet.run(SimulatedFleet.STEP);
		Assert.assertEquals(fleet.get("h1").getFleetViewSource().current().hosts().size(), 4);
		fleet.run(CONVERGENCE_LIMIT);
		Assert.assertTrue(fleet.get("h0").getFleetViewSource().current().findHost(slow).isPresent());
		Assert.assertEquals(fleet.getVersions(), Collections.nCopies(4, 1L));
	}

	@Test
	void leavingUpstreamIsUnusableOnAllHostsWithoutTheHostList() {
		SimulatedFleet fleet = new SimulatedFleet(6);
		fleet.getPlatform()
			.addHost(new ListedHost("runner", HostRole.RUNNER, "10.0.0.9:1", "fi-a", "fi", "runokieli", List.of(), 1,
					false));
		fleet.run(SETTLE_TIME);
		fleet.getPlatform().setOutage(true);
		fleet.getNetwork().cut(HostId.of("h0"), HostId.of("h5"));
		fleet.get("h0").reportLeaving(UpstreamId.of("runner"), 1, "test");
		fleet.run(SimulatedFleet.STEP);
		fleet.getHosts()
			.forEach((h) -> Assert.assertEquals(
					fleet.get(h.value()).getFleetViewSource().current().getUsable(ServiceName.of("runokieli")),
					List.of(), h + " still uses it"));
	}

	@Test
	void currentVersionIsReappendedAfterItsRecordExpired() {
		SimulatedFleet fleet = newFleet(3);
		fleet.publish("h0", 0, "ana");
		fleet.run(SETTLE_TIME);
		fleet.getPlatform().expireBefore(ControlStreams.CONFIG, 1);
		fleet.run(Duration.ofSeconds(30));
		Assert.assertTrue(fleet.getPlatform().getHeadOffset(ControlStreams.CONFIG) > 1);
		fleet.start(HostId.of("h1"), 2, 1_700_000_000_000L);
		fleet.forEachOther("h1", (h) -> fleet.setPaused(h, true));
		fleet.run(SETTLE_TIME);
		Assert.assertEquals(fleet.get("h1").getConfigurationSource().current().version(), 1);
	}

	@Test
	void currentVersionIsReappendedOncePerInterval() {
		SimulatedFleet fleet = newFleet(6);
		fleet.publish("h0", 0, "ana");
		fleet.run(Duration.ofMinutes(61));
		Assert.assertEquals(fleet.getPlatform().getHeadOffset(ControlStreams.CONFIG), 3);
	}

	@Test
	void rollbackPublishesANewVersionThatRefersToTheOldOne() {
		SimulatedFleet fleet = newFleet(2);
		fleet.publish("h0", 0, "ana");
		fleet.run(SETTLE_TIME);
		fleet.publish("h1", 1, "bea");
		fleet.run(SETTLE_TIME);
		SimulatedFleet.Outcome<?> back = fleet.subscribe(fleet.get("h0").rollback(2, 1, "cid", "worse"));
		fleet.run(SETTLE_TIME);
		Assert.assertNotNull(back.getItem(), String.valueOf(back.getFailure()));
		Assert.assertEquals(fleet.getVersions(), List.of(3L, 3L));
		Assert.assertEquals(fleet.get("h1").getHistory().getLast().rollbackOf(), 1);
	}

	private static SimulatedFleet newFleet(int hosts) {
		SimulatedFleet fleet = new SimulatedFleet(hosts);
		fleet.run(SETTLE_TIME);
		return fleet;
	}

}
