package org.wigeonglade.core.member;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.schema.generated.peer.HostView;

/**
 * Guards against new work for a leaving upstream, members that a stale or unavailable
 * host list restores or removes, hosts that a pause of this process marks as lost, and
 * hosts that are never relayed.
 */
public class MemberTableTests {

	private static final long SILENT = 3000;

	private static final HostId SELF = HostId.of("self");

	private static final HostId OTHER = HostId.of("other");

	private static final UpstreamId RUNNER = UpstreamId.of("runner");

	@Test
	void leavingTakesPrecedenceOverAStaleList() {
		MemberTable members = newTable();
		members.applyList(List.of(runner("runner", 5, "10.0.0.9:1", false)), 0);
		Assert.assertEquals(usable(members, 0), 1);
		Assert.assertTrue(members.applyLeaving(RUNNER, 5, 0, 10));
		Assert.assertFalse(members.applyLeaving(RUNNER, 5, 0, 11));
		members.applyList(List.of(runner("runner", 5, "10.0.0.9:1", false)), 20);
		Assert.assertEquals(usable(members, 20), 0);
		members.applyList(List.of(runner("runner", 6, "10.0.0.9:1", false)), 30);
		Assert.assertEquals(usable(members, 30), 1);
		members.applyList(List.of(runner("runner", 5, "10.0.0.9:1", false)), 40);
		Assert.assertEquals(members.toView(40, true).findUpstream(RUNNER).orElseThrow().incarnation(), 6);
		members.applyLeaving(RUNNER, 5, 0, 50);
		Assert.assertEquals(usable(members, 50), 1);
	}

	@Test
	void leavingNoticeBeforeTheListIsKept() {
		MemberTable members = newTable();
		members.applyLeaving(RUNNER, 5, 0, 0);
		members.applyList(List.of(runner("runner", 5, "10.0.0.9:1", false)), 20);
		Assert.assertEquals(usable(members, 20), 0);
	}

	@Test
	void newNameAtAnOldAddressReplacesTheOldMember() {
		MemberTable members = newTable();
		members.applyList(List.of(runner("runner", 5, "10.0.0.9:1", false)), 0);
		members.applyList(List.of(runner("runner", 5, "10.0.0.9:1", false), runner("runner2", 6, "10.0.0.9:1", false)),
				10);
		Assert.assertEquals(members.toView(10, true).upstreams().stream().map((u) -> u.id().value()).toList(),
				List.of("runner2"));
	}

	@Test
	void unavailableOrStaleListKeepsMembers() {
		MemberTable members = newTable();
		members.applyList(List.of(runner("runner", 5, "10.0.0.9:1", false), entry("other")), 0);
		members.applyList(List.of(), 100_000);
		Assert.assertEquals(usable(members, 100_000), 1);
		members.applyList(List.of(entry("other")), 1000);
		Assert.assertEquals(usable(members, 1000), 1);
		members.applyList(List.of(entry("other")), SILENT);
		Assert.assertEquals(usable(members, SILENT), 0);
	}

	@Test
	void silentHostIsLostUntilItsNextHeartbeat() {
		MemberTable members = newTable();
		members.applyHost(view("other", 1, 1), 0);
		Assert.assertTrue(isLive(members, SILENT - 1));
		Assert.assertFalse(isLive(members, SILENT));
		Assert.assertFalse(members.applyHost(view("other", 1, 1), SILENT));
		Assert.assertFalse(isLive(members, SILENT));
		members.applyHost(view("other", 1, 2), SILENT + 1);
		Assert.assertTrue(isLive(members, SILENT + 1));
	}

	@Test
	void pauseOfThisHostMarksNoHostAsLost() {
		MemberTable members = newTable();
		members.applyHost(view("other", 1, 1), 0);
		members.applyPause(60_000);
		Assert.assertTrue(isLive(members, 60_000));
	}

	@Test
	void lowerIncarnationIsAcceptedOnlyAfterTheHigherOneIsSilent() {
		MemberTable members = newTable();
		members.applyHost(view("other", 9, 1), 0);
		members.applyStopping(OTHER, 9, 1);
		Assert.assertFalse(members.applyHost(view("other", 8, 50), 10));
		Assert.assertTrue(members.applyHost(view("other", 8, 51), SILENT));
		HostMember member = members.toView(SILENT, true).findHost(OTHER).orElseThrow();
		Assert.assertEquals(member.incarnation(), 8);
		Assert.assertFalse(member.stopping());
	}

	@Test
	void delayedDigestDoesNotClearStopping() {
		MemberTable members = newTable();
		members.applyHost(view("other", 1, 1), 0);
		members.applyStopping(OTHER, 1, 1);
		members.applyHost(view("other", 1, 2), 2);
		Assert.assertTrue(members.toView(2, true).findHost(OTHER).orElseThrow().stopping());
	}

	@Test
	void largeFleetHasTwoLinksToEachOtherDomain() {
		MemberTable members = newTable();
		IntStream.range(0, 20).forEach((i) -> members.applyHost(view("a" + i, 1, 1), 0));
		IntStream.range(0, 20)
			.forEach((i) -> members.applyHost(view("b" + i, 1, 1).toBuilder().setFailureDomain("fi-b").build(), 0));
		List<HostId> receivers = members.getDigestReceivers();
		Assert.assertEquals(receivers.stream().filter((h) -> h.value().startsWith("a")).count(), 20);
		Assert.assertEquals(receivers.stream().filter((h) -> h.value().startsWith("b")).count(), 2);
	}

	@Test
	void everyHostIsRelayedInTurn() {
		MemberTable members = newTable();
		IntStream.range(0, 20).forEach((i) -> members.applyHost(view("a" + i, 1, 1), 0));
		long relayed = IntStream.range(0, 12)
			.boxed()
			.flatMap((i) -> members.nextRelayed(2, true, 2500).stream())
			.map(HostView::getHost)
			.distinct()
			.count();
		Assert.assertTrue(relayed >= 12, "distinct hosts relayed: " + relayed);
	}

	@Test
	void compactViewOnlyRenewsTheHeartbeatOfAKnownHost() {
		MemberTable members = newTable();
		HostView full = view("other", 1, 1);
		Assert.assertFalse(members.applyHost(MemberTable.toCompact(full), 0));
		members.applyHost(full, 0);
		Assert.assertTrue(members.applyHost(MemberTable.toCompact(view("other", 1, 2)), SILENT - 1));
		Assert.assertTrue(isLive(members, SILENT));
		Assert.assertFalse(members.applyHost(MemberTable.toCompact(view("other", 2, 1)), SILENT));
		Assert.assertEquals(members.find(OTHER).orElseThrow().peerAddress(), "10.0.0.1:7300");
	}

	@Test
	void subsetReplacesOnlyTheRemovedMember() {
		List<String> all = IntStream.range(0, 40).mapToObj((i) -> "runner-" + i).toList();
		List<String> before = Rendezvous.subset("host", all, (n) -> n, 8);
		List<String> remaining = all.stream().filter((n) -> !n.equals(before.get(3))).toList();
		List<String> after = Rendezvous.subset("host", remaining, (n) -> n, 8);
		Assert.assertEquals(after.stream().filter((n) -> !before.contains(n)).count(), 1);
		Assert.assertEquals(Rendezvous.subset("host", all.reversed(), (n) -> n, 8), before);
	}

	private static MemberTable newTable() {
		return MemberTable.of(SELF, FailureDomain.of("fi-a"), new MemberTiming(SILENT, 4));
	}

	private static long usable(MemberTable members, long now) {
		return members.toView(now, true).getUsable(ServiceName.of("runokieli")).size();
	}

	private static boolean isLive(MemberTable members, long now) {
		return members.toView(now, true).findHost(OTHER).isPresent();
	}

	private static HostView view(String host, long incarnation, long heartbeat) {
		return HostView.newBuilder()
			.setHost(host)
			.setIncarnation(incarnation)
			.setHeartbeat(heartbeat)
			.setFailureDomain("fi-a")
			.setRegion("fi")
			.setPeerAddress("10.0.0.1:7300")
			.build();
	}

	private static ListedHost entry(String name) {
		return new ListedHost(name, HostRole.ENTRY, "10.0.0.1:7300", "fi-a", "fi", "", List.of(), 1, false);
	}

	private static ListedHost runner(String name, long incarnation, String address, boolean leaving) {
		return new ListedHost(name, HostRole.RUNNER, address, "fi-a", "fi", "runokieli", List.of(), incarnation,
				leaving);
	}

}
