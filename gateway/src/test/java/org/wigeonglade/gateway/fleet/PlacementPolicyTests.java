package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against online requests that queue behind batch items, that wait in a queue
 * where they miss their latency target, or that are refused while a slot is idle.
 */
public class PlacementPolicyTests {

	private static final Duration HOLD_TIME = Duration.ofMillis(700);

	private static final RequestConstraints NEW_REQUEST = new RequestConstraints(Duration.ofMillis(300),
			Duration.ofSeconds(5), true);

	private static final RequestConstraints STARTED_REQUEST = new RequestConstraints(Duration.ofMillis(-100),
			Duration.ofSeconds(4), false);

	private final PlacementPolicy policy = new PlacementPolicy(new Random(1), () -> Duration.ZERO);

	@Test
	public void idleSlotIsPreferredToPreemption() {
		Placement placement = this.policy.place(List.of(runner("a", 4, 4), runner("b", 7, 0)), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) placement).runner().id(), RunnerId.of("b"));
		Assert.assertEquals(((Placement.Send) placement).expectedWait(), Duration.ZERO);
	}

	@Test
	public void batchItemIsPreemptedInsteadOfQueueing() {
		Placement placement = this.policy.place(List.of(runner("a", 3, 5), runner("b", 8, 0)), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) placement).runner().id(), RunnerId.of("a"));
		Assert.assertEquals(((Placement.Send) placement).preemptions(), 1);
	}

	@Test
	public void allItemsAheadOfTheRequestArePreemptedTogether() {
		Placement placement = this.policy.place(List.of(runner("a", 2, 9)), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) placement).preemptions(), 4);
	}

	@Test
	public void queuedItemIsPreemptedForAQueuedOnlineRequest() {
		Placement placement = this.policy.place(List.of(runner("a", 8, 1)), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) placement).preemptions(), 1);
	}

	@Test
	public void shortQueueIsUsedWhileTheLatencyTargetCanBeMet() {
		Placement placement = this.policy.place(List.of(runner("a", 9, 0), runner("b", 8, 0)), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) placement).runner().id(), RunnerId.of("b"));
		Assert.assertTrue(((Placement.Send) placement).expectedWait().toMillis() > 0);
	}

	@Test
	public void longerQueueOfAFasterRunnerIsPreferred() {
		Candidate fast = runner("fast", 9, 0, Duration.ofMillis(300), false, true);
		Candidate slow = runner("slow", 8, 0, Duration.ofMillis(1_400), false, true);
		Placement placement = this.policy.place(List.of(slow, fast), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) placement).runner().id(), RunnerId.of("fast"));
	}

	@Test
	public void newRequestIsRefusedAtOnceWhenEveryQueueMissesTheTarget() {
		Placement placement = this.policy.place(List.of(runner("a", 12, 0), runner("b", 11, 0)), NEW_REQUEST);
		Placement.Refuse refusal = (Placement.Refuse) placement;
		Assert.assertEquals(refusal.cause(), Placement.Cause.OVERLOADED);
		Assert.assertTrue(refusal.retryAfter().toMillis() >= 300, refusal.toString());
	}

	@Test
	public void startedRequestIsQueuedAfterItsTarget() {
		Placement placement = this.policy.place(List.of(runner("a", 12, 0)), STARTED_REQUEST);
		Assert.assertTrue(placement instanceof Placement.Send, placement.toString());
	}

	@Test
	public void startedRequestIsRefusedWhenItsDeadlineCannotBeMet() {
		RequestConstraints late = new RequestConstraints(Duration.ofMillis(-2_000), Duration.ofMillis(600), false);
		Assert.assertTrue(this.policy.place(List.of(runner("a", 12, 0)), late) instanceof Placement.Refuse);
	}

	@Test
	public void retryDelaysStayWithinTheirBounds() {
		RequestConstraints closeDeadline = new RequestConstraints(Duration.ofMillis(300), Duration.ofMillis(1_200),
				true);
		for (int i = 0; i < 100; i++) {
			long retry = refuse(NEW_REQUEST).retryAfter().toMillis();
			Assert.assertTrue(retry >= 800 && retry <= 1_667, "retry after " + retry);
			retry = refuse(closeDeadline).retryAfter().toMillis();
			Assert.assertTrue(retry >= 200 && retry <= 400, "retry after " + retry);
		}
	}

	// Guards against hosts with the same outdated reports that all send to the one
	// runner with an idle slot although batch items can be preempted on the others.
	@Test
	public void singleIdleSlotAttractsFewRequestsWhenReportsAreOutdated() {
		PlacementPolicy late = new PlacementPolicy(new Random(1), () -> Duration.ofMillis(100));
		List<Candidate> candidates = new ArrayList<>(List.of(runner("free", 7, 0)));
		for (int i = 0; i < 9; i++) {
			candidates.add(runner("mixed-" + i, 4, 4));
		}
		int sentToIdle = 0;
		for (int i = 0; i < 100; i++) {
			Placement.Send send = (Placement.Send) late.place(candidates, NEW_REQUEST);
			boolean free = send.runner().id().value().equals("free");
			sentToIdle += free ? 1 : 0;
			Assert.assertEquals(send.preemptions(), free ? 0 : 1);
		}
		Assert.assertTrue(sentToIdle < 10, sentToIdle + " of 100 requests were sent to the idle slot");
	}

	// Guards against one queue that all hosts choose because their outdated reports
	// show it as short.
	@Test
	public void scarceQueueCapacityAdmitsOnlyPartOfTheRequests() {
		PlacementPolicy late = new PlacementPolicy(new Random(1), () -> Duration.ofMillis(100));
		List<Candidate> candidates = new ArrayList<>(List.of(runner("short", 8, 0)));
		for (int i = 0; i < 19; i++) {
			candidates.add(runner("long-" + i, 16, 0));
		}
		long sent = IntStream.range(0, 200)
			.filter((i) -> late.place(candidates, NEW_REQUEST) instanceof Placement.Send)
			.count();
		// 160 running requests of 700 ms complete at a rate of 23 in 100 ms; one
		// queue has capacity for one more request.
		Assert.assertTrue(sent > 0 && sent < 30, sent + " of 200 were sent");
	}

	@Test
	public void preemptionOnReviewNeedsAQueueAndABatchItem() {
		Duration longAgo = Duration.ofHours(1);
		Assert.assertEquals(this.policy.getPreemptionsForWaitingRequest(runner("a", 6, 3), longAgo), 1);
		Assert.assertEquals(this.policy.getPreemptionsForWaitingRequest(runner("a", 9, 0), longAgo), 0);
		Assert.assertEquals(this.policy.getPreemptionsForWaitingRequest(runner("a", 5, 3), longAgo), 0);
	}

	// Guards against a second preemption caused by a report that was sent before the
	// first one took effect.
	@Test
	public void preemptionIsNotRepeatedBeforeItIsReported() {
		Assert.assertEquals(this.policy.getPreemptionsForWaitingRequest(runner("a", 6, 3), Duration.ofMillis(40)), 0);
		Assert.assertEquals(this.policy.getPreemptionsForWaitingRequest(runner("a", 6, 3), Duration.ofMillis(120)), 1);
	}

	@Test
	public void avoidedRunnerIsUsedOnlyIfThereIsNoOther() {
		Candidate avoided = runner("a", 0, 0, HOLD_TIME, true, true);
		Placement other = this.policy.place(List.of(avoided, runner("b", 7, 0)), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) other).runner().id(), RunnerId.of("b"));
		Placement only = this.policy.place(List.of(avoided), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) only).runner().id(), RunnerId.of("a"));
	}

	@Test
	public void ownFailureDomainIsPreferredBetweenEqualRunners() {
		Candidate otherDomain = runner("far", 2, 0, HOLD_TIME, false, false);
		Candidate ownDomain = runner("near", 2, 0, HOLD_TIME, false, true);
		Placement placement = this.policy.place(List.of(otherDomain, ownDomain), NEW_REQUEST);
		Assert.assertEquals(((Placement.Send) placement).runner().id(), RunnerId.of("near"));
	}

	@Test
	public void refusalWithoutRunnersHasARetryDelay() {
		Placement.Refuse refusal = (Placement.Refuse) this.policy.place(List.of(), NEW_REQUEST);
		Assert.assertEquals(refusal.cause(), Placement.Cause.NO_RUNNER);
		Assert.assertTrue(refusal.retryAfter().toMillis() > 0);
	}

	@Test
	public void batchItemsStartOnIdleSlotsOnly() {
		Assert.assertTrue(this.policy.placeBatch(List.of(runner("a", 8, 0), runner("b", 3, 5)), (c) -> true).isEmpty());
		Assert.assertEquals(
				this.policy.placeBatch(List.of(runner("a", 8, 0), runner("b", 3, 2)), (c) -> true).get().id(),
				RunnerId.of("b"));
	}

	/**
	 * Simulates a burst like the one recorded on the users' machines: 48 slots, 17 batch
	 * items, and 60 to 65 arrivals a second for 2.4 s, each occupying a slot for 0.7 s.
	 */
	@Test(dataProvider = "burstRates")
	public void burstWithinCapacityMeetsTheLatencyTarget(int perSecond, double minInTime) {
		int runners = 6;
		int[] batch = new int[runners];
		Arrays.fill(batch, 3);
		List<List<Long>> online = new ArrayList<>();
		for (int i = 0; i < runners; i++) {
			online.add(new ArrayList<>());
		}
		int arrivals = 0;
		int inTime = 0;
		for (long now = 0; now < 2_400; now += 1_000 / perSecond) {
			List<Candidate> candidates = new ArrayList<>();
			for (int i = 0; i < runners; i++) {
				long time = now;
				online.get(i).removeIf((end) -> end <= time);
				candidates.add(runner(Integer.toString(i), online.get(i).size(), batch[i]));
			}
			arrivals++;
			switch (this.policy.place(candidates, NEW_REQUEST)) {
				case Placement.Send send -> {
					batch[Integer.parseInt(send.runner().id().value())] -= send.preemptions();
					inTime += serve(online, send.runner(), now) ? 1 : 0;
				}
				case Placement.Refuse refusal -> Assert.assertTrue(refusal.retryAfter().toMillis() > 0);
			}
		}
		Assert.assertTrue(inTime >= minInTime * arrivals, inTime + " of " + arrivals + " in time");
	}

	@DataProvider
	public Object[][] burstRates() {
		return new Object[][] { { 50, 1.0 }, { 62, 0.98 }, { 80, 0.85 } };
	}

	@Test
	public void limitedRunnerIsPassedOverWhileAnotherHasRoom() {
		for (int i = 0; i < 20; i++) {
			Placement.Send send = (Placement.Send) this.policy.place(List.of(limited("a", 0, 0), runner("b", 6, 0)),
					NEW_REQUEST);
			Assert.assertEquals(send.runner().id(), RunnerId.of("b"));
		}
	}

	// The requests of a limited runner must last for the burst that the others cannot
	// take.
	@Test
	public void limitedRunnerIsUsedOnlyWhenTheSlotsOfOthersAreFull() {
		Placement.Send pause = (Placement.Send) this.policy.place(List.of(limited("a", 7, 1), runner("b", 6, 0)),
				NEW_REQUEST);
		Assert.assertEquals(pause.runner().id(), RunnerId.of("b"));
		Placement.Send burst = (Placement.Send) this.policy.place(List.of(limited("a", 7, 1), runner("b", 8, 0)),
				NEW_REQUEST);
		Assert.assertEquals(burst.runner().id(), RunnerId.of("a"));
	}

	@Test
	public void requestBeyondAllRateLimitsIsRefusedWithARetryTime() {
		Placement.Refuse refusal = (Placement.Refuse) this.policy
			.place(List.of(limited("a", 0, 0), limited("b", -1, 0)), NEW_REQUEST);
		Assert.assertEquals(refusal.cause(), Placement.Cause.RATE_LIMITED);
		Assert.assertTrue(refusal.retryAfter().toMillis() > 0);
	}

	@Test
	public void batchItemLeavesTheRequestsOfTheRateLimitToOnlineRequests() {
		Assert.assertTrue(this.policy.placeBatch(List.of(limited("a", 1, 0)), (c) -> true).isEmpty());
		Assert.assertTrue(this.policy.placeBatch(List.of(limited("a", 2, 1)), (c) -> true).isPresent());
	}

	private static Candidate limited(String id, int online, int batch) {
		Candidate unlimited = runner(id, 0, 0);
		return new Candidate(unlimited.entry(), unlimited.load(), false, true, HOLD_TIME, new Allowance(online, batch));
	}

	private static boolean serve(List<List<Long>> online, RunnerEntry runner, long now) {
		List<Long> ends = online.get(Integer.parseInt(runner.id().value()));
		ends.sort(null);
		long start = (ends.size() < runner.slots()) ? now : ends.get(ends.size() - runner.slots());
		ends.add(start + HOLD_TIME.toMillis());
		return start - now <= 300;
	}

	private Placement.Refuse refuse(RequestConstraints constraints) {
		return (Placement.Refuse) this.policy.place(List.of(runner("a", 12, 0)), constraints);
	}

	private static Candidate runner(String id, int online, int batch) {
		return runner(id, online, batch, HOLD_TIME, false, true);
	}

	private static Candidate runner(String id, int online, int batch, Duration hold, boolean avoided,
			boolean sameDomain) {
		RunnerEntry entry = new RunnerEntry(RunnerId.of(id), ServiceName.of("llm"),
				new InetSocketAddress("127.0.0.1", 1), FailureDomain.of("a"), SoftwareVersion.of("v1"), 8, false, 0);
		return new Candidate(entry, new LoadTracker.Load(online, batch), avoided, sameDomain, hold,
				Allowance.UNLIMITED);
	}

}
