package org.wigeonglade.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.gateway.workspace.UsageLimit;
import org.wigeonglade.gateway.workspace.WorkspaceRateLimiter;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.HostEntry;

/**
 * Guards against datagrams that change or grow without limited workspaces, and against
 * reports that another host reads differently.
 */
public class UsageExchangeTests {

	private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

	@Test
	public void datagramsAreUnchangedWithoutLimitedWorkspaces() {
		WorkspaceRateLimiter limiter = new WorkspaceRateLimiter(1, new Random(1), 0);
		limiter.setMembers(Map.of(HostId.of("b"), 1L), 0);
		UsageExchange exchange = new UsageExchange(limiter);
		limiter.tryAdmit(WORKSPACE, 0);
		Datagram before = datagram("b").build();
		Datagram.Builder after = before.toBuilder();
		exchange.addChanges(after, 0);
		exchange.recordHeard(HostId.of("b"), 1, false, 0);
		exchange.sendReports(0, (host, report) -> Assert.fail("a report is sent"));
		Assert.assertEquals(after.build().toByteArray(), before.toByteArray());
	}

	@Test
	public void hostThatStartsAdoptsTheLevelOfAnotherOne() {
		WorkspaceRateLimiter first = limiter();
		for (long now = 0; now <= 20_000; now += 250) {
			first.setMembers(Map.of(), now);
		}
		first.tryAdmit(WORKSPACE, 20_000);
		UsageExchange exchange = new UsageExchange(first);
		exchange.recordHeard(HostId.of("b"), 1, false, 20_000);
		List<Datagram> sent = new ArrayList<>();
		exchange.sendReports(20_000, (host, report) -> sent.add(datagram("a").mergeFrom(report).build()));
		exchange.sendReports(20_100, (host, report) -> Assert.fail("repeated too early"));
		exchange.sendReports(20_250, (host, report) -> sent.add(report));
		Assert.assertEquals(sent.size(), 2);
		WorkspaceRateLimiter second = limiter();
		second.setMembers(Map.of(HostId.of("a"), 1L), 0);
		UsageExchange other = new UsageExchange(second);
		other.recordHeard(HostId.of("a"), 1, false, 0);
		Datagram report = sent.getFirst();
		other.apply(HostId.of("a"), 1, report.getWorkspaceUsageList(), report.getWorkspaceLevelsList(), 0);
		double level = 2 * second.getReport(0).getFirst().portion().orElseThrow();
		Assert.assertTrue(level >= 8 && level <= 9, "level " + level);
	}

	private static WorkspaceRateLimiter limiter() {
		WorkspaceRateLimiter limiter = new WorkspaceRateLimiter(1, new Random(1), 0);
		limiter.setLimits(Map.of(WORKSPACE, new UsageLimit(10, 10)), 0);
		return limiter;
	}

	private static Datagram.Builder datagram(String host) {
		return Datagram.newBuilder().setSender(HostEntry.newBuilder().setHost(host).setIncarnation(1)).setSequence(7);
	}

}
