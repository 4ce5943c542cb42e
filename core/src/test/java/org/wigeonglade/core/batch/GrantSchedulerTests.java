package org.wigeonglade.core.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.schema.generated.log.JobAccepted;
import org.wigeonglade.schema.generated.log.OutcomeStatus;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkStatus;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Guards against a workspace that gets more grants than its weight allows, suspects on
 * shared runners, attempts without bound, non-idempotent items that are granted twice,
 * and late reports that give an item a second outcome.
 */
public class GrantSchedulerTests {

	private static final long LEASE = 1000;

	private final BatchPolicy policy = new BatchPolicy(
			() -> new VersionedConfiguration(1,
					new FleetConfiguration().withWorkspaces(List.of(
							new WorkspaceConfiguration().withName("heavy").withKeyHashes(List.of()).withWeight(3),
							new WorkspaceConfiguration().withName("light").withKeyHashes(List.of()).withWeight(1)))));

	private GrantScheduler scheduler(JobState... jobs) {
		PartitionState state = new PartitionState();
		state.setOwner(5, "a", 1, false);
		for (JobState job : jobs) {
			state.jobs().put(job.getId(), job);
		}
		return new GrantScheduler(3, state, this.policy, LEASE);
	}

	private static JobState job(String id, String workspace, int items, long due, boolean idempotent) {
		return new JobState(JobAccepted.newBuilder()
			.setBatchId(id)
			.setWorkspace(workspace)
			.setService("s")
			.setItemCount(items)
			.setDueWallTimeMs(due)
			.setIdempotent(idempotent)
			.build(), 1, new byte[items], new long[items]);
	}

	private static WorkOutcome report(Grant grant, WorkStatus status) {
		return WorkOutcome.newBuilder()
			.setBatchId(grant.getJob().getId())
			.setIndex(grant.getIndex())
			.setGrantId(grant.getId())
			.setStatus(status)
			.build();
	}

	@Test
	void grantsFollowWorkspaceWeightsAndThenDueTimes() {
		GrantScheduler scheduler = scheduler(job("late", "heavy", 1000, 1_000_000, true),
				job("early", "heavy", 100, 500_000, true), job("other", "light", 1000, 1_000_000, true));
		Map<String, Integer> granted = new HashMap<>();
		for (Grant grant : scheduler.select("s", 400, false, 0, 0)) {
			granted.merge(grant.getJob().getId(), 1, Integer::sum);
		}
		Assert.assertEquals(granted, Map.of("early", 100, "late", 200, "other", 100));
	}

	@Test
	void suspectIsGrantedAloneToAnIsolatedRunnerAndIsOwedAfterEveryCrash() {
		GrantScheduler scheduler = scheduler(job("j", "light", 3, 1000, true));
		List<Grant> first = scheduler.select("s", 3, false, 0, 0);
		Assert.assertTrue(scheduler.report(report(first.get(0), WorkStatus.WORK_CRASHED)).crash());
		scheduler.report(report(first.get(1), WorkStatus.WORK_RETURNED));
		Assert.assertEquals(scheduler.select("s", 3, false, 0, 0).size(), 1, "suspect granted to a shared runner");
		List<Grant> alone = scheduler.select("s", 3, true, 0, 0);
		Assert.assertEquals(alone.size(), 1);
		Assert.assertTrue(alone.get(0).isSuspect());
		for (int crash = 2; crash < 20; crash++) {
			Assert.assertTrue(scheduler.report(report(alone.get(0), WorkStatus.WORK_CRASHED)).crash(), "not owed");
			alone = scheduler.select("s", 3, true, 0, 0);
			Assert.assertEquals(alone.size(), 1);
		}
		GrantScheduler.StateChange end = scheduler.report(report(alone.get(0), WorkStatus.WORK_COMPLETED));
		Assert.assertEquals(end.outcome().getStatus(), OutcomeStatus.COMPLETED);
	}

	// Guards against an item that is never placed again after crashes, because no runner
	// is without online work.
	@Test
	void suspectRunsBesideOtherWorkIfNoRunnerIsIsolatedForLong() {
		GrantScheduler scheduler = scheduler(job("j", "light", 1, 1000, true));
		Grant first = scheduler.select("s", 1, false, 0, 0).get(0);
		scheduler.report(report(first, WorkStatus.WORK_CRASHED));
		Assert.assertTrue(scheduler.select("s", 1, false, 100, 0).isEmpty());
		Assert.assertTrue(scheduler.select("s", 1, false, 1_099, 0).isEmpty());
		List<Grant> shared = scheduler.select("s", 1, false, 1_100, 0);
		Assert.assertEquals(shared.size(), 1);
		Assert.assertFalse(shared.get(0).isSuspect());
	}

	@Test
	void itemFailsAfterItsLastAttempt() {
		GrantScheduler scheduler = scheduler(job("j", "light", 1, 1000, true));
		for (int attempt = 1; attempt < 3; attempt++) {
			Grant grant = scheduler.select("s", 1, false, 0, 0).get(0);
			Assert.assertTrue(scheduler.report(report(grant, WorkStatus.WORK_FAILED)).isNone(), "attempt " + attempt);
		}
		Grant last = scheduler.select("s", 1, false, 0, 0).get(0);
		Assert.assertEquals(scheduler.report(report(last, WorkStatus.WORK_FAILED)).outcome().getStatus(),
				OutcomeStatus.FAILED);
	}

	@Test
	void expiredLeaseRequeuesOnlyIdempotentItems() {
		JobState once = job("once", "light", 1, 1000, false);
		GrantScheduler scheduler = scheduler(job("again", "light", 1, 500, true), once);
		List<Grant> grants = scheduler.select("s", 2, false, 0, 0);
		once.markIntended(0);
		Assert.assertTrue(scheduler.renew(grants.get(0).getId(), LEASE / 2));
		List<GrantScheduler.StateChange> expired = scheduler.expireLeases(LEASE);
		Assert.assertEquals(expired.size(), 1);
		Assert.assertEquals(expired.get(0).outcome().getStatus(), OutcomeStatus.UNKNOWN);
		Assert.assertTrue(scheduler.expireLeases(2 * LEASE).isEmpty());
		Assert.assertEquals(scheduler.select("s", 2, false, 0, 0).get(0).getJob().getId(), "again");
		Assert.assertTrue(scheduler.select("s", 2, false, 0, 0).isEmpty());
	}

	@Test
	void secondReportOfAnItemIsIgnoredUntilItsOutcomeIsReadBack() {
		GrantScheduler scheduler = scheduler(job("j", "light", 1, 1000, true));
		Grant first = scheduler.select("s", 1, false, 0, 0).get(0);
		scheduler.expireLeases(LEASE);
		Grant second = scheduler.select("s", 1, false, LEASE, 0).get(0);
		Assert.assertFalse(scheduler.report(report(first, WorkStatus.WORK_COMPLETED)).isNone());
		Assert.assertTrue(scheduler.report(report(second, WorkStatus.WORK_COMPLETED)).isNone());
		scheduler.expireLeases(10 * LEASE);
		Assert.assertTrue(scheduler.select("s", 1, false, 0, 0).isEmpty());
	}

	@Test
	void inheritedIntentBecomesUnknownUnlessItsResultArrives() {
		JobState job = job("j", "light", 2, 1000, false);
		job.markIntended(0);
		job.markIntended(1);
		GrantScheduler scheduler = scheduler(job);
		Assert.assertTrue(scheduler.select("s", 2, true, 0, 0).isEmpty(), "intended item granted again");
		WorkOutcome late = WorkOutcome.newBuilder()
			.setBatchId("j")
			.setIndex(1)
			.setGrantId(77)
			.setStatus(WorkStatus.WORK_COMPLETED)
			.build();
		Assert.assertEquals(scheduler.report(late).outcome().getStatus(), OutcomeStatus.COMPLETED);
		List<GrantScheduler.StateChange> abandoned = scheduler.abandonInheritedIntents();
		Assert.assertEquals(abandoned.size(), 1);
		Assert.assertEquals(abandoned.get(0).outcome().getIndex(), 0);
		Assert.assertEquals(abandoned.get(0).outcome().getStatus(), OutcomeStatus.UNKNOWN);
	}

	@Test
	void grantOfCancelledJobIsRevoked() {
		GrantScheduler scheduler = scheduler(job("j", "light", 1, 1000, true));
		Grant grant = scheduler.select("s", 1, false, 0, 0).get(0);
		scheduler.removeJob("j");
		Assert.assertFalse(scheduler.renew(grant.getId(), 0));
		Assert.assertTrue(scheduler.report(report(grant, WorkStatus.WORK_COMPLETED)).isNone());
		Assert.assertEquals(GrantIds.partitionOf(grant.getId()), 3);
	}

}
