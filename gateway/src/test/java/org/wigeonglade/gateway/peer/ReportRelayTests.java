package org.wigeonglade.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.HostEntry;
import org.wigeonglade.schema.generated.gateway.RelayedReport;
import org.wigeonglade.schema.generated.gateway.RunnerLoad;
import org.wigeonglade.schema.generated.gateway.WorkspaceUsage;

/**
 * Guards against datagrams of each host that grow with the fleet, and against hosts that
 * nobody tells of changes.
 */
public class ReportRelayTests {

	private static final FailureDomain DOMAIN = FailureDomain.of("a");

	private static final HostId SENDER = HostId.of("sender");

	private static final RunnerId RUNNER = RunnerId.of("r1");

	@DataProvider
	public Object[][] fleets() {
		return new Object[][] { { 18, 2 }, { 24, 2 }, { 25, 3 }, { 71, 6 }, { 300, 25 } };
	}

	@Test(dataProvider = "fleets")
	public void fewHostsAreToldOfEachChange(int hosts, int relays) {
		Map<HostId, Integer> listeners = new HashMap<>();
		Set<HostId> direct = new HashSet<>();
		for (int i = 0; i < hosts; i++) {
			ReportRelay relay = new ReportRelay(host(i), DOMAIN, table(hosts, i));
			relay.choose(false, 0);
			HostId self = host(i);
			relay.getChosen()
				.ifPresentOrElse((chosen) -> listeners.merge(chosen, 1, Integer::sum), () -> direct.add(self));
		}
		Assert.assertEquals(direct.size(), relays);
		Assert.assertEquals(listeners.keySet(), direct);
		listeners.values().forEach((count) -> Assert.assertTrue(count < ReportRelay.GROUP_SIZE, listeners.toString()));
	}

	@Test
	public void hostsOfASmallFleetTellEachOther() {
		ReportRelay relay = new ReportRelay(host(9), DOMAIN, table(PeerTable.SMALL_FLEET_HOSTS + 1, 9));
		relay.choose(false, 0);
		Assert.assertEquals(relay.getChosen(), Optional.empty());
	}

	@Test
	public void anotherHostIsChosenOnceTheFirstIsNotHeard() {
		PeerTable table = table(24, 9);
		ReportRelay relay = new ReportRelay(host(9), DOMAIN, table);
		relay.choose(false, 0);
		HostId first = relay.getChosen().orElseThrow();
		table.getPeers()
			.stream()
			.map(PeerTable.Peer::getHost)
			.filter((host) -> !host.equals(first))
			.toList()
			.forEach((host) -> table.recordDatagram(host, 1, false, true, 1_000));
		Assert.assertTrue(relay.choose(false, 1_000));
		Assert.assertNotEquals(relay.getChosen().orElseThrow(), first);
	}

	@Test
	public void hostThatIsStoppingIsToldDirectly() {
		ReportRelay relay = new ReportRelay(host(9), DOMAIN, table(24, 9));
		relay.choose(true, 0);
		Assert.assertEquals(relay.getChosen(), Optional.empty());
	}

	@Test
	public void hostIsToldDirectlyOnceItsRelayIsLost() {
		PeerTable table = table(24, 9);
		ReportRelay relay = new ReportRelay(host(9), DOMAIN, table);
		PeerTable.Peer listener = table.find(host(5)).orElseThrow();
		Assert.assertTrue(relay.isToldDirectly(listener));
		listener.setReportRelay(Optional.of(host(0)));
		Assert.assertFalse(relay.isToldDirectly(listener));
		table.recordDatagram(host(0), 1, true, true, 0);
		Assert.assertTrue(relay.isToldDirectly(listener));
	}

	@Test
	public void listenerHasTheLoadOfTheSenderAfterEachChange() {
		ReportRelay relay = new ReportRelay(host(0), DOMAIN, table(24, 0));
		LoadTracker listener = new LoadTracker();
		List<Map<String, Integer>> loads = List.of(Map.of("r1", 2, "r2", 1), Map.of("r1", 3, "r2", 1), Map.of("r2", 1),
				Map.of());
		listener.applyReport(SENDER, new LoadTracker.Report(7, 0, 0, Map.of()));
		for (int i = 0; i < loads.size(); i++) {
			Assert.assertTrue(relay.recordReport(report(i + 1, loads.get(i))));
			apply(relay.takeChanges(), listener);
			int expected = loads.get(i).getOrDefault("r1", 0);
			Assert.assertEquals(listener.getLoad(RUNNER).online(), expected, "after change " + i);
		}
	}

	@Test
	public void onlyChangedLoadsArePassedOn() {
		ReportRelay relay = new ReportRelay(host(0), DOMAIN, table(24, 0));
		relay.recordReport(report(1, Map.of("r1", 2, "r2", 1)));
		relay.takeChanges();
		Assert.assertFalse(relay.recordReport(report(2, Map.of("r1", 2, "r2", 1))));
		relay.recordReport(report(3, Map.of("r1", 2, "r2", 2)));
		relay.recordReport(report(4, Map.of("r1", 2, "r2", 3)));
		List<RelayedReport> changes = relay.takeChanges();
		Assert.assertEquals(changes.size(), 1);
		Assert.assertEquals(changes.get(0).getSequence(), 4);
		Assert.assertEquals(changes.get(0).getLoadsList(),
				List.of(RunnerLoad.newBuilder().setRunner("r2").setOnline(3).build()));
		Assert.assertTrue(relay.takeChanges().isEmpty());
	}

	// A host does not repeat its usage in each datagram.
	@Test
	public void usageOfBothDatagramsBetweenTwoDigestsIsPassedOn() {
		ReportRelay relay = new ReportRelay(host(0), DOMAIN, table(24, 0));
		relay.recordReport(report(1, Map.of()).toBuilder().addWorkspaceUsage(usage(1, 5)).build());
		relay.recordReport(
				report(2, Map.of()).toBuilder().addWorkspaceUsage(usage(1, 6)).addWorkspaceUsage(usage(2, 3)).build());
		relay.recordReport(report(3, Map.of()).toBuilder().addWorkspaceUsage(usage(3, 9)).build());
		Assert.assertEquals(relay.takeChanges().get(0).getWorkspaceUsageList(),
				List.of(usage(1, 6), usage(2, 3), usage(3, 9)));
	}

	private static WorkspaceUsage usage(long workspace, int admitted) {
		return WorkspaceUsage.newBuilder().setWorkspace(workspace).setAdmitted(admitted).build();
	}

	// A direct report that was sent later holds all of the load.
	@Test
	public void delayedChangeDoesNotReplaceALaterReport() {
		LoadTracker listener = new LoadTracker();
		listener.applyReport(SENDER, new LoadTracker.Report(7, 5, 0, Map.of(RUNNER, new LoadTracker.Load(1, 0))));
		LoadTracker.Report delayed = new LoadTracker.Report(7, 4, 0, Map.of(RUNNER, new LoadTracker.Load(9, 0)));
		Assert.assertFalse(listener.applyChanges(SENDER, delayed));
		Assert.assertEquals(listener.getLoad(RUNNER).online(), 1);
	}

	private static void apply(List<RelayedReport> changes, LoadTracker listener) {
		for (RelayedReport change : changes) {
			Map<RunnerId, LoadTracker.Load> loads = new HashMap<>();
			change.getLoadsList()
				.forEach((load) -> loads.put(RunnerId.of(load.getRunner()),
						new LoadTracker.Load(load.getOnline(), load.getBatch())));
			listener.applyChanges(SENDER,
					new LoadTracker.Report(change.getIncarnation(), change.getSequence(), 0, loads));
		}
	}

	private static Datagram report(int sequence, Map<String, Integer> online) {
		Datagram.Builder report = Datagram.newBuilder()
			.setSender(HostEntry.newBuilder().setHost(SENDER.value()).setIncarnation(7))
			.setSequence(sequence);
		online.forEach((runner, count) -> report.addLoads(RunnerLoad.newBuilder().setRunner(runner).setOnline(count)));
		return report.build();
	}

	private static HostId host(int number) {
		return HostId.of(String.format("host-%03d", number));
	}

	private static PeerTable table(int hosts, int self) {
		PeerTable table = new PeerTable();
		for (int i = 0; i < hosts; i++) {
			if (i != self) {
				table.register(host(i), new InetSocketAddress("127.0.0.1", 1), DOMAIN, 1, 0);
				table.recordDatagram(host(i), 1, false, true, 0);
			}
		}
		return table;
	}

}
