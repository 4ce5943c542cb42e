package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against a stream that is taken for one of the present version although it may
 * have begun at another one, and against refusals where only one version has served.
 */
public class VersionHistoryTests {

	private static final Duration PERIOD = Duration.ofSeconds(20);

	private final ServiceName service = ServiceName.of("llm");

	private VersionHistory history;

	@BeforeMethod
	public void createHistory() {
		this.history = new VersionHistory();
	}

	@Test
	public void versionThatHasServedAloneForThePeriodIsFound() {
		observe(0, "v1");
		observe(20_000, "v1");
		Assert.assertEquals(find(20_000), Optional.of(SoftwareVersion.of("v1")));
	}

	@Test
	public void shortHistoryTellsNothing() {
		observe(0, "v1");
		Assert.assertEquals(find(19_999), Optional.empty());
	}

	@Test
	public void departedVersionCountsUntilThePeriodIsOver() {
		observe(0, "v1");
		observe(30_000, "v1", "v2");
		observe(30_250, "v2");
		Assert.assertEquals(find(50_000), Optional.empty());
		observe(50_001, "v2");
		Assert.assertEquals(find(50_001), Optional.of(SoftwareVersion.of("v2")));
	}

	@Test
	public void historyBeginsAnewAfterAnOutageOfTheStore() {
		observe(0, "v1");
		this.history.observe(List.of(runner("v1")), false, 30_000);
		observe(30_250, "v1");
		Assert.assertEquals(find(50_249), Optional.empty());
		observe(50_250, "v1");
		Assert.assertEquals(find(50_250), Optional.of(SoftwareVersion.of("v1")));
	}

	// A host that was suspended reads both registrations at once.
	@Test
	public void versionThatCameAndWentBetweenTwoObservationsCounts() {
		observe(0, "v1");
		this.history.record(runner("v2"), 30_000);
		observe(30_000, "v1");
		Assert.assertEquals(find(49_999), Optional.empty());
		observe(50_001, "v1");
		Assert.assertEquals(find(50_001), Optional.of(SoftwareVersion.of("v1")));
	}

	@Test
	public void historyBeginsAnewWithAListingThatMayHideVersions() {
		observe(0, "v1");
		this.history.restart(30_000);
		observe(30_250, "v1");
		Assert.assertEquals(find(49_999), Optional.empty());
		observe(50_000, "v1");
		Assert.assertEquals(find(50_000), Optional.of(SoftwareVersion.of("v1")));
	}

	private void observe(long millis, String... versions) {
		this.history.observe(List.of(versions).stream().map(VersionHistoryTests::runner).toList(), true, millis);
	}

	private Optional<SoftwareVersion> find(long millis) {
		return this.history.findOnlyVersion(this.service, PERIOD, millis);
	}

	private static RunnerEntry runner(String version) {
		return new RunnerEntry(RunnerId.of(version), ServiceName.of("llm"), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), SoftwareVersion.of(version), 8, false, 0);
	}

}
