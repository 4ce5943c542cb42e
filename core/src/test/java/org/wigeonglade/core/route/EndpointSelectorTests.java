package org.wigeonglade.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.member.Rendezvous;

/**
 * Guards against requests beyond the limit of an upstream, against a prefix that
 * overloads its preferred upstream, and against keys that move without need.
 */
public class EndpointSelectorTests {

	@Test
	public void excludesFullCandidatesAndOpenBreakers() {
		List<Endpoint> candidates = List.of(new Endpoint("a", 4, 4, true), new Endpoint("b", 0, 4, false));
		Assert.assertTrue(EndpointSelector.choose(candidates, "prefix", new SplittableRandom(1)::nextInt).isEmpty());
	}

	@Test
	public void singlePrefixStaysWithinTheLoadBound() {
		int[] load = new int[8];
		SplittableRandom random = new SplittableRandom(7);
		for (int i = 0; i < 80; i++) {
			List<Endpoint> candidates = new ArrayList<>();
			for (int j = 0; j < load.length; j++) {
				candidates.add(new Endpoint("runner-" + j, load[j], 100, true));
			}
			Endpoint chosen = EndpointSelector.choose(candidates, "same", random::nextInt).orElseThrow();
			load[Integer.parseInt(chosen.name().substring(7))]++;
		}
		int most = 0;
		for (int value : load) {
			most = Math.max(most, value);
		}
		Assert.assertTrue(most <= 16, "the most loaded of 8 upstreams received " + most + " of 80 requests");
	}

	@Test
	public void samePrefixGoesToTheSameIdleUpstream() {
		List<Endpoint> candidates = new ArrayList<>();
		for (int j = 0; j < 8; j++) {
			candidates.add(new Endpoint("runner-" + j, 0, 100, true));
		}
		Endpoint first = EndpointSelector.choose(candidates, "same", new SplittableRandom(1)::nextInt).orElseThrow();
		for (int seed = 2; seed < 50; seed++) {
			Assert.assertEquals(
					EndpointSelector.choose(candidates, "same", new SplittableRandom(seed)::nextInt).orElseThrow(),
					first);
		}
	}

	@Test
	public void removedCandidateMovesOnlyItsOwnKeys() {
		List<String> all = List.of("a", "b", "c", "d", "e");
		List<String> remaining = List.of("a", "b", "d", "e");
		for (int i = 0; i < 500; i++) {
			String before = Rendezvous.first("key-" + i, all, (n) -> n).orElseThrow();
			String after = Rendezvous.first("key-" + i, remaining, (n) -> n).orElseThrow();
			Assert.assertTrue(before.equals("c") || before.equals(after));
			Assert.assertEquals(Rendezvous.rank("key-" + i, all, (n) -> n).get(0), before);
		}
	}

}
