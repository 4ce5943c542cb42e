package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.gateway.job.QuotaPolicy.Decision;
import org.wigeonglade.gateway.job.QuotaPolicy.Usage;

/**
 * Guards against many hosts that together exceed a quota, and against the refusal of jobs
 * that fit.
 */
public class QuotaPolicyTests {

	/** Maximum overrun of the quota, as a fraction of the quota. */
	private static final double ALLOWED_OVERRUN = 0.1;

	private static final long QUOTA = 1_000_000;

	@Test(dataProvider = "cases")
	public void decisionDependsOnRemainingCapacity(Usage usage, long tokens, Decision expected) {
		Assert.assertEquals(QuotaPolicy.decide(usage, tokens), expected);
	}

	@DataProvider
	public Object[][] cases() {
		return new Object[][] { { new Usage(0, 5_000, 0, 3, true), 10_000, Decision.APPEND },
				{ new Usage(1_000, 0, 0, 1, true), 500, Decision.APPEND },
				{ new Usage(1_000, 0, 0, 1, true), 1_000, Decision.APPEND_IF_UNCHANGED },
				{ new Usage(1_000, 0, 0, 1, true), 1_001, Decision.REFUSE },
				{ new Usage(1_000, 0, 0, 10, true), 51, Decision.APPEND_IF_UNCHANGED },
				{ new Usage(1_000, 0, 30, 10, true), 21, Decision.APPEND_IF_UNCHANGED },
				{ new Usage(1_000, 990, 0, 10, true), 11, Decision.REFUSE },
				{ new Usage(1_000, 900, 60, 10, true), 50, Decision.REFUSE },
				// A host that has just started has not read any jobs.
				{ new Usage(1_000, 0, 0, 1, false), 10, Decision.APPEND_IF_UNCHANGED },
				{ new Usage(1_000, 990, 0, 3, false), 50, Decision.APPEND_IF_UNCHANGED } };
	}

	@Test
	public void refusedJobIsRetriedWhenItIsExpectedToFit() {
		Assert.assertEquals(QuotaPolicy.retryAfter(new Usage(1_000, 900, 0, 3, true), 300, 100).toMillis(), 2_000);
		Assert.assertEquals(QuotaPolicy.retryAfter(new Usage(1_000, 900, 0, 3, true), 101, 1_000).toMillis(), 250);
		Assert.assertEquals(QuotaPolicy.retryAfter(new Usage(1_000, 900, 0, 3, true), 300, 0).toMillis(), 10_000);
	}

	// Each host reads the stream with a random lag of 1, 10 or 100 ticks on average, and
	// jobs arrive at all hosts at several times the rate that the quota permits.
	@Test(dataProvider = "fleets")
	public void concurrentHostsStayWithinTheQuota(int hosts, int lag, long seed) {
		Random random = new Random(seed);
		ModelFleet fleet = new ModelFleet(hosts);
		int fittingRefused = 0;
		for (int tick = 0; tick < 2_000; tick++) {
			for (int host = 0; host < hosts; host++) {
				if (random.nextInt(lag) == 0) {
					fleet.views[host] = fleet.stream.size();
				}
				if (random.nextInt(50) == 0 && fleet.submit(host, 5_000 + random.nextInt(25_000))) {
					fittingRefused++;
				}
			}
			fleet.finish(random.nextInt(20_000));
			Assert.assertTrue(fleet.waiting(fleet.stream.size()) <= QUOTA * (1 + ALLOWED_OVERRUN),
					fleet.waiting(fleet.stream.size()) + " tokens wait at tick " + tick);
		}
		Assert.assertTrue(fleet.accepted > 100, fleet.accepted + " jobs were accepted");
		Assert.assertEquals(fittingRefused, 0, "jobs refused though they fit");
	}

	@DataProvider
	public Object[][] fleets() {
		List<Object[]> rows = new ArrayList<>();
		for (int hosts : new int[] { 3, 11, 81 }) {
			for (int lag : new int[] { 1, 10, 100 }) {
				rows.add(new Object[] { hosts, lag, 17L * hosts + lag });
			}
		}
		return rows.toArray(Object[][]::new);
	}

	// Model of a stream whose records hold the tokens of accepted jobs (positive) or
	// finished tokens (negative), and of hosts that each have read a prefix of it.
	private static final class ModelFleet {

		private final List<Long> stream = new ArrayList<>();

		private final List<Integer> writers = new ArrayList<>();

		private final int[] views;

		private final int hosts;

		private int accepted;

		private ModelFleet(int hosts) {
			this.hosts = hosts;
			this.views = new int[hosts];
		}

		// Returns whether the job was refused although it fits.
		private boolean submit(int host, long tokens) {
			Decision decision = QuotaPolicy.decide(usage(host), tokens);
			if (decision != Decision.APPEND) {
				this.views[host] = this.stream.size();
				decision = QuotaPolicy.decide(usage(host), tokens);
			}
			if (decision == Decision.REFUSE) {
				return waiting(this.stream.size()) + tokens <= QUOTA;
			}
			append(tokens, host);
			this.accepted++;
			return false;
		}

		private void finish(long tokens) {
			long finished = Math.min(tokens, waiting(this.stream.size()));
			if (finished > 0) {
				append(-finished, -1);
			}
		}

		private void append(long tokens, int writer) {
			this.stream.add(tokens);
			this.writers.add(writer);
		}

		private Usage usage(int host) {
			long pending = 0;
			for (int i = this.views[host]; i < this.stream.size(); i++) {
				pending += (this.writers.get(i) == host) ? this.stream.get(i) : 0;
			}
			return new Usage(QUOTA, waiting(this.views[host]), pending, this.hosts, true);
		}

		private long waiting(int end) {
			return this.stream.subList(0, end).stream().mapToLong(Long::longValue).sum();
		}

	}

}
