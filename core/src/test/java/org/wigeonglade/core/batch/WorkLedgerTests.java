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
 * Guards against a workspace that takes all grants, suspects that reach shared runners,
 * tries without bound, non-idempotent items that are granted again, and late reports that
 * end an item twice.
 */
public class WorkLedgerTests {

	private static final long LEASE = 1000;

	private final BatchPolicy policy = new BatchPolicy(
			() -> new VersionedConfiguration(1,
					new FleetConfiguration().withWorkspaces(List.of(
							new WorkspaceConfiguration().withName("heavy").withKeyHashes(List.of()).withWeight(3),
							new WorkspaceConfiguration().withName("light").withKeyHashes(List.of()).withWeight(1)))));

	private WorkLedger ledger(JobState... jobs) {
		PartitionState state = new PartitionState();
		state.setOwner(5, "a", 1, false);
		for (JobState job : jobs) {
			state.jobs().put(job.getId(), job);
		}
		return new WorkLedger(3, state, this.policy, LEASE);
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
	void grantsFollowTheWeightsOfWorkspacesAndTheDueTimesInside() {
		WorkLedger ledger = ledger(job("late", "heavy", 1000, 1_000_000, true),
				job("early", "heavy", 100, 500_000, true), job("other", "light", 1000, 1_000_000, true));
		Map<String, Integer> granted = new HashMap<>();
		for (Grant grant : ledger.select("s", 400, false, 0, 0)) {
			granted.merge(grant.getJob().getId(), 1, Integer::sum);
		}
		Assert.assertEquals(granted, Map.of("early", 100, "late", 200, "other", 100));
	}

	@Test
	void suspectGoesAloneToAnIsolatedRunnerAndEndsAfterTheSecondCrash() {
		WorkLedger ledger = ledger(job("j", "light", 3, 1000, true));
		List<Grant> first = ledger.select("s", 3, false, 0, 0);
		Assert.assertTrue(ledger.report(report(first.get(0), WorkStatus.WORK_CRASHED)).crashMark());
		ledger.report(report(first.get(1), WorkStatus.WORK_RETURNED));
		Assert.assertEquals(ledger.select("s", 3, false, 0, 0).size(), 1, "suspect granted to a shared runner");
		List<Grant> alone = ledger.select("s", 3, true, 0, 0);
		Assert.assertEquals(alone.size(), 1);
		Assert.assertTrue(alone.get(0).isSuspect());
		WorkLedger.Verdict end = ledger.report(report(alone.get(0), WorkStatus.WORK_CRASHED));
		Assert.assertEquals(end.outcome().getStatus(), OutcomeStatus.FAILED);
		Assert.assertEquals(end.outcome().getErrorCode(), "WG-4291");
	}

	@Test
	void itemFailsAfterItsLastAttempt() {
		WorkLedger ledger = ledger(job("j", "light", 1, 1000, true));
		for (int attempt = 1; attempt < 3; attempt++) {
			Grant grant = ledger.select("s", 1, false, 0, 0).get(0);
			Assert.assertTrue(ledger.report(report(grant, WorkStatus.WORK_FAILED)).isNothing(), "attempt " + attempt);
		}
		Grant last = ledger.select("s", 1, false, 0, 0).get(0);
		Assert.assertEquals(ledger.report(report(last, WorkStatus.WORK_FAILED)).outcome().getStatus(),
				OutcomeStatus.FAILED);
	}

	@Test
	void lapsedLeaseGrantsAgainOnlyWhatMayBeRepeated() {
		JobState once = job("once", "light", 1, 1000, false);
		WorkLedger ledger = ledger(job("again", "light", 1, 500, true), once);
		List<Grant> grants = ledger.select("s", 2, false, 0, 0);
		once.intend(0);
		Assert.assertTrue(ledger.renew(grants.get(0).getId(), LEASE / 2));
		List<WorkLedger.Verdict> lapsed = ledger.lapse(LEASE);
		Assert.assertEquals(lapsed.size(), 1);
		Assert.assertEquals(lapsed.get(0).outcome().getStatus(), OutcomeStatus.UNKNOWN);
		Assert.assertTrue(ledger.lapse(2 * LEASE).isEmpty());
		Assert.assertEquals(ledger.select("s", 2, false, 0, 0).get(0).getJob().getId(), "again");
		Assert.assertTrue(ledger.select("s", 2, false, 0, 0).isEmpty());
	}

	@Test
	void secondReportOfAnItemIsIgnoredUntilItsOutcomeIsReadBack() {
		WorkLedger ledger = ledger(job("j", "light", 1, 1000, true));
		Grant first = ledger.select("s", 1, false, 0, 0).get(0);
		ledger.lapse(LEASE);
		Grant second = ledger.select("s", 1, false, LEASE, 0).get(0);
		Assert.assertFalse(ledger.report(report(first, WorkStatus.WORK_COMPLETED)).isNothing());
		Assert.assertTrue(ledger.report(report(second, WorkStatus.WORK_COMPLETED)).isNothing());
		ledger.lapse(10 * LEASE);
		Assert.assertTrue(ledger.select("s", 1, false, 0, 0).isEmpty());
	}

	@Test
	void inheritedIntentBecomesUnknownUnlessItsResultArrives() {
		JobState job = job("j", "light", 2, 1000, false);
		job.intend(0);
		job.intend(1);
		WorkLedger ledger = ledger(job);
		Assert.assertTrue(ledger.select("s", 2, true, 0, 0).isEmpty(), "intended item granted again");
		WorkOutcome late = WorkOutcome.newBuilder()
			.setBatchId("j")
			.setIndex(1)
			.setGrantId(77)
			.setStatus(WorkStatus.WORK_COMPLETED)
			.build();
		Assert.assertEquals(ledger.report(late).outcome().getStatus(), OutcomeStatus.COMPLETED);
		List<WorkLedger.Verdict> abandoned = ledger.abandonInherited();
		Assert.assertEquals(abandoned.size(), 1);
		Assert.assertEquals(abandoned.get(0).outcome().getIndex(), 0);
		Assert.assertEquals(abandoned.get(0).outcome().getStatus(), OutcomeStatus.UNKNOWN);
	}

	@Test
	void grantOfCancelledJobIsRevoked() {
		WorkLedger ledger = ledger(job("j", "light", 1, 1000, true));
		Grant grant = ledger.select("s", 1, false, 0, 0).get(0);
		ledger.removeJob("j");
		Assert.assertFalse(ledger.renew(grant.getId(), 0));
		Assert.assertTrue(ledger.report(report(grant, WorkStatus.WORK_COMPLETED)).isNothing());
		Assert.assertEquals(WorkGrants.partitionOf(grant.getId()), 3);
	}

}
