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
 * Guards against one workspace that delays the others, and against work that leaves the
 * queue twice or never.
 */
public class FairQueueTests {

	private static final WorkspaceId LOUD = WorkspaceId.of("loud");

	private static final WorkspaceId QUIET = WorkspaceId.of("quiet");

	private static final QuickTheory THEORY = QuickTheory.qt(() -> Configuration.systemStrategy())
		.withFixedSeed(4291)
		.withExamples(200);

	@Test
	public void quietWorkspaceIsServedNextDespiteLongBacklog() {
		FairQueue<String> queue = new FairQueue<>(1000);
		for (int i = 0; i < 500; i++) {
			queue.offer(LOUD, 1, 100, i, "loud-" + i);
		}
		queue.poll();
		queue.poll();
		queue.offer(QUIET, 1, 100, 0, "quiet");
		Assert.assertTrue(queue.poll().orElseThrow().equals("quiet") || queue.poll().orElseThrow().equals("quiet"));
	}

	@Test
	public void fullQueueEvictsTheLongestWorkspace() {
		FairQueue<String> queue = new FairQueue<>(3);
		for (int i = 0; i < 3; i++) {
			Assert.assertTrue(queue.offer(LOUD, 1, 1, i, "loud-" + i).isEmpty());
		}
		Assert.assertEquals(queue.offer(QUIET, 1, 1, 9, "quiet"), Optional.of("loud-2"));
		Assert.assertEquals(queue.getSize(), 3);
	}

	@Test
	public void deadlinesOrderTheWorkOfOneWorkspace() {
		FairQueue<String> queue = new FairQueue<>(10);
		queue.offer(LOUD, 1, 1, 30, "late");
		queue.offer(LOUD, 1, 1, 10, "early");
		Assert.assertEquals(queue.poll(), Optional.of("early"));
	}

	@Test
	public void everyEntryLeavesExactlyOnce() {
		THEORY.forAll(SourceDSL.lists().of(SourceDSL.integers().between(0, 30)).ofSizeBetween(1, 120))
			.check((steps) -> {
				FairQueue<Integer> queue = new FairQueue<>(20);
				List<Integer> left = new ArrayList<>();
				for (int i = 0; i < steps.size(); i++) {
					WorkspaceId workspace = WorkspaceId.of("w" + steps.get(i) % 5);
					if (steps.get(i) % 3 == 0) {
						queue.poll().ifPresent(left::add);
					}
					queue.offer(workspace, 1 + steps.get(i) % 2, 1 + steps.get(i), i, i).ifPresent(left::add);
				}
				for (Optional<Integer> next = queue.poll(); next.isPresent(); next = queue.poll()) {
					left.add(next.orElseThrow());
				}
				return left.size() == steps.size() && left.stream().distinct().count() == steps.size()
						&& queue.getSize() == 0;
			});
	}

	@Test
	public void sharesFollowWeights() {
		FairQueue<String> queue = new FairQueue<>(1000);
		for (int i = 0; i < 300; i++) {
			queue.offer(LOUD, 1, 10, i, "one");
			queue.offer(QUIET, 2, 10, i, "two");
		}
		long two = 0;
		for (int i = 0; i < 300; i++) {
			two += queue.poll().orElseThrow().equals("two") ? 1 : 0;
		}
		Assert.assertTrue(Math.abs(two - 200) <= 2, "weight 2 was served " + two + " of 300 times");
	}

}
