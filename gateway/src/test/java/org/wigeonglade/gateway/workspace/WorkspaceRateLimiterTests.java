package org.wigeonglade.gateway.workspace;

import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Guards against charges that are lost or doubled, hosts that are gone and take away rate
 * for ever, limits that apply late, and retry times at which a request does not fit.
 */
public class WorkspaceRateLimiterTests {

	private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

	private static final HostId PEER = HostId.of("peer");

	private WorkspaceRateLimiter limiter;

	@BeforeMethod
	public void createLimiter() {
		this.limiter = new WorkspaceRateLimiter(10, new Random(1), 0);
		this.limiter.setLimits(Map.of(WORKSPACE, new UsageLimit(10, 10)), 0);
	}

	@Test
	public void hostThatStartsHasNoTokensBeforeItKnowsTheOthersAndThenOne() {
		Assert.assertEquals(take(5_000), 0);
		this.limiter.setMembers(Map.of(), 5_000);
		Assert.assertEquals(take(5_000), 1);
		Assert.assertEquals(take(60_000), 16);
	}

	@Test
	public void reportedRequestsAreChargedOnceAlsoAfterALossAndARestart() {
		contact(0, 5_000, 20);
		apply(20, 3);
		apply(20, 3);
		apply(20, 8);
		Assert.assertEquals(level(5_000), 8, 0.01, "16 minus 8");
		contact(5_000, 10_000, 20);
		apply(20, 5);
		this.limiter.heard(PEER, 21, false, 10_000);
		this.limiter.apply(PEER, 20, List.of(entry(8, OptionalDouble.empty())), 10_000);
		this.limiter.apply(PEER, 21, List.of(entry(2, OptionalDouble.of(9))), 10_000);
		this.limiter.apply(PEER, 21, List.of(entry(4, OptionalDouble.empty())), 10_000);
		Assert.assertEquals(level(10_000), 14, 0.01, "16 minus the 2 after the report");
	}

	@Test
	public void requestsBeforeTheStartOfThisHostAreNotCharged() {
		contact(0, 5_000, 9);
		this.limiter.apply(PEER, 9, List.of(entry(4_000, OptionalDouble.empty())), 5_000);
		Assert.assertEquals(level(5_000), 15, 0.01);
	}

	@Test
	public void requestsThatAreGivenBackCostNothing() {
		this.limiter.setMembers(Map.of(), 0);
		Assert.assertEquals(take(5_000), 16);
		this.limiter.giveBack(WORKSPACE, 5_000);
		Assert.assertEquals(take(5_000), 1);
		Assert.assertEquals(this.limiter.getChanges(5_000), List.of(entry(16, OptionalDouble.empty())));
		Assert.assertEquals(this.limiter.getChanges(5_500), List.of());
		Assert.assertEquals(this.limiter.getChanges(6_000).size(), 1, "repeated");
		Assert.assertEquals(this.limiter.getChanges(8_000), List.of());
	}

	@Test
	public void silentHostKeepsItsShareForABoundedTime() {
		contact(0, 5_000, 20);
		Assert.assertEquals(take(20_000), 8, "half of 16");
		Assert.assertEquals(take(20_400), 2);
		Assert.assertEquals(take(5_000 + WorkspaceRateLimiter.RETENTION_MILLIS), 8);
		Assert.assertEquals(take(60_000), 16);
	}

	@Test
	public void delayOfThisProcessIsNoSilenceOfOthers() {
		contact(0, 5_000, 20);
		Assert.assertEquals(take(6_000), 16);
		Assert.assertEquals(take(6_200), 0);
		Assert.assertEquals(take(12_000), 8);
	}

	@Test
	public void hostThatWasNeverAliveOrHasLeftIsNotCounted() {
		this.limiter.setMembers(Map.of(PEER, 5L), 0);
		Assert.assertEquals(this.limiter.getGroupSize(), 2);
		this.limiter.setMembers(Map.of(PEER, 5L), WorkspaceRateLimiter.RETENTION_MILLIS + 1);
		Assert.assertEquals(this.limiter.getGroupSize(), 1);
		this.limiter.heard(PEER, 5, true, 40_000);
		this.limiter.setMembers(Map.of(PEER, 5L), 40_100);
		Assert.assertEquals(this.limiter.getGroupSize(), 2);
		this.limiter.setMembers(Map.of(PEER, 5L), 41_000);
		Assert.assertEquals(this.limiter.getGroupSize(), 1);
	}

	@Test
	public void lowerLimitAppliesAtOnceAndCountersSurviveARemovedLimit() {
		this.limiter.setMembers(Map.of(), 0);
		take(5_000);
		this.limiter.setLimits(Map.of(WORKSPACE, new UsageLimit(2, 2)), 10_000);
		Assert.assertEquals(take(10_000), 8);
		this.limiter.setLimits(Map.of(), 11_000);
		Assert.assertFalse(this.limiter.isActive());
		Assert.assertTrue(this.limiter.tryAdmit(WORKSPACE, 11_000) instanceof UsageDecision.Admit);
		this.limiter.setLimits(Map.of(WORKSPACE, new UsageLimit(2, 2)), 12_000);
		Assert.assertEquals(this.limiter.getReport(12_000).getFirst().admitted(), 24);
	}

	@Test
	public void requestFitsAtItsRetryTimeAndCallersReturnApart() {
		this.limiter.setMembers(Map.of(), 0);
		take(5_000);
		long first = retryMillis(5_000);
		Assert.assertTrue(first >= 100 && first <= 500, first + " ms");
		long last = 0;
		for (int count = 0; count < 100; count++) {
			last = Math.max(last, retryMillis(5_000));
		}
		Assert.assertTrue(last > 2_000 && last < 3_200, last + " ms");
		Assert.assertEquals(take(5_000 + first), (first < 200) ? 1 : first / 100);
	}

	private void contact(long from, long to, long incarnation) {
		for (long now = from; now <= to; now += 250) {
			this.limiter.heard(PEER, incarnation, false, now);
			this.limiter.setMembers(Map.of(PEER, incarnation), now);
		}
	}

	private void apply(long incarnation, int admitted) {
		this.limiter.apply(PEER, incarnation, List.of(entry(admitted, OptionalDouble.empty())), 5_000);
	}

	private double level(long now) {
		return 2 * this.limiter.getReport(now).getFirst().portion().orElseThrow();
	}

	private int take(long now) {
		int taken = 0;
		while (taken < 100 && this.limiter.tryAdmit(WORKSPACE, now) instanceof UsageDecision.Admit) {
			taken++;
		}
		return taken;
	}

	private long retryMillis(long now) {
		return ((UsageDecision.Reject) this.limiter.tryAdmit(WORKSPACE, now)).retryAfter().toMillis();
	}

	private static UsageEntry entry(int admitted, OptionalDouble portion) {
		return new UsageEntry(UsageEntry.hash(WORKSPACE), admitted, portion);
	}

}
