package org.wigeonglade.gateway.job;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.Allowance;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.SoftwareVersion;
import org.wigeonglade.gateway.stream.StreamBinding;

/**
 * Guards against items that are continued at another version, that lose their output
 * although their version serves, and that wait for a version that has left.
 */
public class ItemDemandTests {

	private static final ServiceName SERVICE = ServiceName.of("llm");

	private final Candidate first = candidate("v1");

	private final Candidate second = candidate("v2");

	@Test
	public void itemWithOutputFitsOnlyItsVersion() {
		ItemDemand demand = demand(List.of(this.first, this.second), 0);
		Assert.assertEquals(demand.selectFitting(List.of(this.first, this.second)), List.of(this.first));
		Assert.assertFalse(demand.mayBeginAnew());
	}

	@Test
	public void itemBeginsAnewWhenItsVersionHasLeft() {
		Assert.assertTrue(demand(List.of(this.second), 0).mayBeginAnew());
	}

	@Test
	public void itemKeepsItsOutputWhileNoRunnerIsKnown() {
		Assert.assertFalse(demand(List.of(), 0).mayBeginAnew());
	}

	@Test
	public void itemBeginsAnewAfterAWaitAsLongAsItsRun() {
		Assert.assertFalse(demand(List.of(this.first), 2_999).mayBeginAnew());
		Assert.assertTrue(demand(List.of(this.first), 3_000).mayBeginAnew());
	}

	@Test
	public void newItemFitsAllVersions() {
		Assert.assertEquals(ItemDemand.ofNewItem(SERVICE).selectFitting(List.of(this.first, this.second)).size(), 2);
	}

	private ItemDemand demand(List<Candidate> accepting, long waitedMillis) {
		StreamBinding binding = new StreamBinding.Open().afterEventFrom(this.first.entry());
		return ItemDemand.ofResumedItem(SERVICE, binding, accepting, Duration.ofMillis(waitedMillis),
				Duration.ofSeconds(3));
	}

	private static Candidate candidate(String version) {
		RunnerEntry entry = new RunnerEntry(RunnerId.of(version), SERVICE, new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), SoftwareVersion.of(version), 8, false, 0);
		return new Candidate(entry, LoadTracker.Load.NONE, false, true, Duration.ofSeconds(1), Allowance.UNLIMITED);
	}

}
