package org.wigeonglade.core.admit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.quicktheories.QuickTheory;
import org.quicktheories.core.Configuration;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Guards against a workspace with a long backlog that starves the others, against shares
 * that do not follow the weights, and against work that is lost or dequeued twice.
 */
public class FairQueueTests {

	private static final WorkspaceId BUSY = WorkspaceId.of("busy");

	private static final WorkspaceId OTHER = WorkspaceId.of("other");

	private static final QuickTheory THEORY = QuickTheory.qt(() -> Configuration.systemStrategy())
		.withFixedSeed(4291)
		.withExamples(200);

	@Test
	public void newWorkspaceIsServedWithinTwoPollsDespiteLongBacklog() {
		FairQueue<String> queue = new FairQueue<>(1000);
		for (int i = 0; i < 500; i++) {
			queue.offer(BUSY, 1, 100, i, "busy-" + i);
		}
		queue.poll();
		queue.poll();
		queue.offer(OTHER, 1, 100, 0, "other");
		Assert.assertTrue(queue.poll().orElseThrow().equals("other") || queue.poll().orElseThrow().equals("other"));
	}

	@Test
	public void fullQueueEvictsFromTheLongestBacklog() {
		FairQueue<String> queue = new FairQueue<>(3);
		for (int i = 0; i < 3; i++) {
			Assert.assertTrue(queue.offer(BUSY, 1, 1, i, "busy-" + i).isEmpty());
		}
		Assert.assertEquals(queue.offer(OTHER, 1, 1, 9, "other"), Optional.of("busy-2"));
		Assert.assertEquals(queue.getSize(), 3);
	}

	@Test
	public void deadlinesOrderTheWorkOfOneWorkspace() {
		FairQueue<String> queue = new FairQueue<>(10);
		queue.offer(BUSY, 1, 1, 30, "late");
		queue.offer(BUSY, 1, 1, 10, "early");
		Assert.assertEquals(queue.poll(), Optional.of("early"));
	}

	@Test
	public void everyEntryIsDequeuedOrEvictedExactlyOnce() {
		THEORY.forAll(SourceDSL.lists().of(SourceDSL.integers().between(0, 30)).ofSizeBetween(1, 120))
			.check((steps) -> {
				FairQueue<Integer> queue = new FairQueue<>(20);
				List<Integer> removed = new ArrayList<>();
				for (int i = 0; i < steps.size(); i++) {
					WorkspaceId workspace = WorkspaceId.of("w" + steps.get(i) % 5);
					if (steps.get(i) % 3 == 0) {
						queue.poll().ifPresent(removed::add);
					}
					queue.offer(workspace, 1 + steps.get(i) % 2, 1 + steps.get(i), i, i).ifPresent(removed::add);
				}
				for (Optional<Integer> next = queue.poll(); next.isPresent(); next = queue.poll()) {
					removed.add(next.orElseThrow());
				}
				return removed.size() == steps.size() && removed.stream().distinct().count() == steps.size()
						&& queue.getSize() == 0;
			});
	}

	@Test
	public void sharesFollowWeights() {
		FairQueue<String> queue = new FairQueue<>(1000);
		for (int i = 0; i < 300; i++) {
			queue.offer(BUSY, 1, 10, i, "one");
			queue.offer(OTHER, 2, 10, i, "two");
		}
		long two = 0;
		for (int i = 0; i < 300; i++) {
			two += queue.poll().orElseThrow().equals("two") ? 1 : 0;
		}
		Assert.assertTrue(Math.abs(two - 200) <= 2, "weight 2 was served " + two + " of 300 times");
	}

}
