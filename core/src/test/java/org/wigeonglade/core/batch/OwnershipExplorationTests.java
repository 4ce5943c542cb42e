package org.wigeonglade.core.batch;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;

/**
 * Explores every interleaving of two owners of a partition with one item, where either
 * may pause at any step or for ever, and the answer to one append is lost, so that its
 * record is appended again at any later point. Guards against a non-idempotent item that
 * runs twice and an item with two outcomes.
 */
public class OwnershipExplorationTests {

	private static final String JOB = "j";

	private static final int DONE = 9;

	private static final int STOPPED = 10;

	private long explored;

	@DataProvider
	Object[][] kinds() {
		return new Object[][] { { true }, { false } };
	}

	@Test(dataProvider = "kinds")
	void itemRunsAtMostOnceIfItMustAndEndsOnce(boolean idempotent) {
		PartitionState state = new PartitionState();
		PartitionReplay.apply(state, 0,
				Records.of("client", 1, List.of(Records.chunk(JOB, 0, 1, false, 0), Records.accept(JOB, "", "d", 1))),
				ReplayObserver.NONE);
		this.explored = 0;
		explore(new World(state, new Owner("a", 0, 0, 0), new Owner("b", 0, 0, 0), 0, 0, null, true), idempotent);
		Assert.assertTrue(this.explored > 1000, "explored only " + this.explored);
	}

	private void explore(World world, boolean idempotent) {
		this.explored++;
		check(world, idempotent);
		for (int who = 0; who < 2; who++) {
			Owner owner = (who == 0) ? world.first : world.second;
			if (owner.step < DONE) {
				step(world, who, owner, idempotent);
			}
		}
		if (world.late != null) {
			PartitionState state = world.state.copy();
			int outcomes = world.outcomes + append(state, world.late);
			explore(new World(state, world.first, world.second, world.runs, outcomes, null, false), idempotent);
		}
	}

	private void check(World world, boolean idempotent) {
		JobState job = world.state.findJob(JOB).orElseThrow();
		Assert.assertTrue(idempotent || world.runs <= 1, "ran " + world.runs + " times");
		Assert.assertTrue(world.outcomes <= 1, world.outcomes + " outcomes");
		if (world.first.step >= DONE && world.second.step >= DONE) {
			Assert.assertTrue(job.isFinished(), "both owners ended without an outcome");
		}
	}

	private void step(World world, int who, Owner owner, boolean idempotent) {
		int itemState = world.state.findJob(JOB).orElseThrow().getState(0);
		boolean mine = world.state.isOwnedBy(owner.host, 1, owner.term);
		switch (owner.step) {
			case 0 -> write(world, who, owner.with(1, world.state.getTerm() + 1),
					Records.claim(owner.host, world.state.getTerm() + 1), idempotent);
			case 1 -> go(world, who, mine ? 2 : STOPPED, 0, idempotent);
			case 2 -> look(world, who, owner, itemState, idempotent);
			case 3 -> go(world, who, (mine && itemState == ItemState.INTENDED) ? 4 : STOPPED, 0, idempotent);
			case 4 -> go(world, who, 5, 1, idempotent);
			case 5 -> write(world, who, owner.with(6, owner.term),
					Records.outcome(JOB, 0, OutcomeStatus.COMPLETED, owner.term, false), idempotent);
			default -> go(world, who, ItemState.isOpen(itemState) ? STOPPED : DONE, 0, idempotent);
		}
	}

	private void look(World world, int who, Owner owner, int itemState, boolean idempotent) {
		if (!ItemState.isOpen(itemState)) {
			go(world, who, DONE, 0, idempotent);
		}
		else if (itemState == ItemState.INTENDED) {
			write(world, who, owner.with(6, owner.term),
					Records.outcome(JOB, 0, OutcomeStatus.UNKNOWN, owner.term, false), idempotent);
		}
		else if (idempotent) {
			go(world, who, 4, 0, idempotent);
		}
		else {
			write(world, who, owner.with(3, owner.term), Records.intent(JOB, 0, owner.term, false), idempotent);
		}
	}

	private void go(World world, int who, int step, int moreRuns, boolean idempotent) {
		Owner owner = (who == 0) ? world.first : world.second;
		explore(world.with(who, owner.with(step, owner.term), moreRuns), idempotent);
	}

	private void write(World world, int who, Owner next, LogEntry entry, boolean idempotent) {
		Owner advanced = new Owner(next.host, next.step, next.term, next.sequence + 1);
		LogRecord written = Records.of(next.host, advanced.sequence, List.of(entry));
		PartitionState state = world.state.copy();
		int outcomes = world.outcomes + append(state, written);
		World after = new World(state, (who == 0) ? advanced : world.first, (who == 1) ? advanced : world.second,
				world.runs, outcomes, world.late, world.mayLose);
		explore(after, idempotent);
		if (world.mayLose) {
			explore(new World(state.copy(), after.first, after.second, after.runs, outcomes, written, false),
					idempotent);
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

	private record World(PartitionState state, Owner first, Owner second, int runs, int outcomes, LogRecord late,
			boolean mayLose) {

		World with(int who, Owner owner, int moreRuns) {
			return new World(this.state.copy(), (who == 0) ? owner : this.first, (who == 1) ? owner : this.second,
					this.runs + moreRuns, this.outcomes, this.late, this.mayLose);
		}

	}

}
