package org.wigeonglade.core.batch;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;

/**
 * Model check of partition ownership: explores every interleaving of two owners of a
 * partition with one item. Each may pause at any step, also for ever, and the answer to
 * one append is lost, so that its record is appended a second time at any later point.
 * Guards against a non-idempotent item that runs twice and an item with two outcomes.
 */
public class OwnershipExplorationTests {

	private static final String JOB = "j";

	/** Step of an owner that saw the outcome of the item. */
	private static final int DONE = 9;

	/** Step of an owner that ended because it lost the ownership or the item. */
	private static final int STOPPED = 10;

	private long explored;

	@DataProvider
	Object[][] idempotence() {
		return new Object[][] { { true }, { false } };
	}

	@Test(dataProvider = "idempotence")
	void nonIdempotentItemRunsAtMostOnceAndEveryItemEndsOnce(boolean idempotent) {
		PartitionState state = new PartitionState();
		PartitionReplay.apply(state, 0,
				Records.of("client", 1, List.of(Records.chunk(JOB, 0, 1, false, 0), Records.accept(JOB, "", "d", 1))),
				ReplayObserver.NONE);
		this.explored = 0;
		explore(new SystemState(state, new Owner("a", 0, 0, 0), new Owner("b", 0, 0, 0), 0, 0, null, true), idempotent);
		Assert.assertTrue(this.explored > 1000, "explored only " + this.explored);
	}

	private void explore(SystemState system, boolean idempotent) {
		this.explored++;
		check(system, idempotent);
		for (int ownerIndex = 0; ownerIndex < 2; ownerIndex++) {
			Owner owner = (ownerIndex == 0) ? system.first : system.second;
			if (owner.step < DONE) {
				step(system, ownerIndex, owner, idempotent);
			}
		}
		if (system.delayedRecord != null) {
			PartitionState state = system.state.copy();
			int outcomes = system.outcomes + append(state, system.delayedRecord);
			explore(new SystemState(state, system.first, system.second, system.runs, outcomes, null, false),
					idempotent);
		}
	}

	private void check(SystemState system, boolean idempotent) {
		JobState job = system.state.findJob(JOB).orElseThrow();
		Assert.assertTrue(idempotent || system.runs <= 1, "ran " + system.runs + " times");
		Assert.assertTrue(system.outcomes <= 1, system.outcomes + " outcomes");
		if (system.first.step >= DONE && system.second.step >= DONE) {
			Assert.assertTrue(job.isFinished(), "both owners ended and the item has no outcome");
		}
	}

	// Steps of an owner: 0 appends a claim, 1 checks the ownership, 2 reads the item and
	// appends an intent, or UNKNOWN for an intent of the other owner, 3 checks the
	// intent,
	// 4 runs the item, 5 appends the outcome, 6 reads the outcome back.
	private void step(SystemState system, int ownerIndex, Owner owner, boolean idempotent) {
		int itemState = system.state.findJob(JOB).orElseThrow().getState(0);
		boolean owned = system.state.isOwnedBy(owner.host, 1, owner.term);
		switch (owner.step) {
			case 0 -> write(system, ownerIndex, owner.with(1, system.state.getTerm() + 1),
					Records.claim(owner.host, system.state.getTerm() + 1), idempotent);
			case 1 -> advance(system, ownerIndex, owned ? 2 : STOPPED, 0, idempotent);
			case 2 -> readItemState(system, ownerIndex, owner, itemState, idempotent);
			case 3 ->
				advance(system, ownerIndex, (owned && itemState == ItemState.INTENDED) ? 4 : STOPPED, 0, idempotent);
			case 4 -> advance(system, ownerIndex, 5, 1, idempotent);
			case 5 -> write(system, ownerIndex, owner.with(6, owner.term),
					Records.outcome(JOB, 0, OutcomeStatus.COMPLETED, owner.term, false), idempotent);
			default -> advance(system, ownerIndex, ItemState.isOpen(itemState) ? STOPPED : DONE, 0, idempotent);
		}
	}

	private void readItemState(SystemState system, int ownerIndex, Owner owner, int itemState, boolean idempotent) {
		if (!ItemState.isOpen(itemState)) {
			advance(system, ownerIndex, DONE, 0, idempotent);
		}
		else if (itemState == ItemState.INTENDED) {
			write(system, ownerIndex, owner.with(6, owner.term),
					Records.outcome(JOB, 0, OutcomeStatus.UNKNOWN, owner.term, false), idempotent);
		}
		else if (idempotent) {
			advance(system, ownerIndex, 4, 0, idempotent);
		}
		else {
			write(system, ownerIndex, owner.with(3, owner.term), Records.intent(JOB, 0, owner.term, false), idempotent);
		}
	}

	private void advance(SystemState system, int ownerIndex, int step, int moreRuns, boolean idempotent) {
		Owner owner = (ownerIndex == 0) ? system.first : system.second;
		explore(system.with(ownerIndex, owner.with(step, owner.term), moreRuns), idempotent);
	}

	private void write(SystemState system, int ownerIndex, Owner next, LogEntry entry, boolean idempotent) {
		Owner advanced = new Owner(next.host, next.step, next.term, next.sequence + 1);
		LogRecord written = Records.of(next.host, advanced.sequence, List.of(entry));
		PartitionState state = system.state.copy();
		int outcomes = system.outcomes + append(state, written);
		SystemState appended = new SystemState(state, (ownerIndex == 0) ? advanced : system.first,
				(ownerIndex == 1) ? advanced : system.second, system.runs, outcomes, system.delayedRecord,
				system.mayLoseAnswer);
		explore(appended, idempotent);
		if (system.mayLoseAnswer) {
			explore(new SystemState(state.copy(), appended.first, appended.second, appended.runs, outcomes, written,
					false), idempotent);
		}
	}

	private int append(PartitionState state, LogRecord written) {
		int[] outcomes = new int[1];
		PartitionReplay.apply(state, state.getAppliedOffset() + 1, written, new ReplayObserver() {
			@Override
			public void itemFinished(JobState job, int index) {
				outcomes[0]++;
			}
		});
		return outcomes[0];
	}

	private record Owner(String host, int step, long term, long sequence) {

		Owner with(int newStep, long newTerm) {
			return new Owner(this.host, newStep, newTerm, this.sequence);
		}

	}

	private record SystemState(PartitionState state, Owner first, Owner second, int runs, int outcomes,
			LogRecord delayedRecord, boolean mayLoseAnswer) {

		SystemState with(int ownerIndex, Owner owner, int moreRuns) {
			return new SystemState(this.state.copy(), (ownerIndex == 0) ? owner : this.first,
					(ownerIndex == 1) ? owner : this.second, this.runs + moreRuns, this.outcomes, this.delayedRecord,
					this.mayLoseAnswer);
		}

	}

}
