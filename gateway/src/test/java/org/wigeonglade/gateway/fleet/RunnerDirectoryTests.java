package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against a directory that empties because registrations expire during an outage
 * of the store, and against entries of stopped runners that are never removed.
 */
public class RunnerDirectoryTests {

	private static final RunnerId RUNNER = RunnerId.of("r");

	private RunnerDirectory directory;

	@BeforeMethod
	public void registerRunner() {
		this.directory = new RunnerDirectory();
		this.directory.storeReachable(0);
		this.directory.put(entry(false));
	}

	@Test
	public void removalOutsideTheGracePeriodIsImmediate() {
		Assert.assertEquals(this.directory.remove(RUNNER, 10_000), new RunnerDirectory.Removal.Removed());
		Assert.assertTrue(this.directory.find(RUNNER).isEmpty());
	}

	@Test
	public void removalAfterAnOutageIsDeferredToTheEndOfTheGracePeriod() {
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		Assert.assertTrue(this.directory.remove(RUNNER, 10_100) instanceof RunnerDirectory.Removal.Deferred);
		this.directory.expire(10_000 + RunnerDirectory.REREGISTRATION_GRACE_MILLIS - 1);
		Assert.assertTrue(this.directory.find(RUNNER).isPresent());
		this.directory.expire(10_000 + RunnerDirectory.REREGISTRATION_GRACE_MILLIS);
		Assert.assertTrue(this.directory.find(RUNNER).isEmpty());
	}

	@Test
	public void reregistrationCancelsADeferredRemoval() {
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		this.directory.remove(RUNNER, 10_100);
		this.directory.put(entry(false));
		this.directory.expire(60_000);
		Assert.assertTrue(this.directory.find(RUNNER).isPresent());
	}

	@Test
	public void drainingRunnerIsRemovedDuringTheGracePeriod() {
		this.directory.put(entry(true));
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		Assert.assertEquals(this.directory.remove(RUNNER, 10_100), new RunnerDirectory.Removal.Removed());
	}

	// Guards against requests to a runner that has left, from a host that has just
	// started.
	@Test
	public void removalSoonAfterTheStartOfAHostIsImmediate() {
		this.directory.storeReachable(350);
		Assert.assertEquals(this.directory.remove(RUNNER, 400), new RunnerDirectory.Removal.Removed());
		Assert.assertTrue(this.directory.find(RUNNER).isEmpty());
	}

	// Such an entry has not expired during the outage.
	@Test
	public void runnerThatHasRegisteredSinceTheOutageIsRemovedImmediately() {
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		this.directory.storeReachable(10_350);
		this.directory.put(entry(false));
		this.directory.storeReachable(10_700);
		Assert.assertEquals(this.directory.remove(RUNNER, 10_700), new RunnerDirectory.Removal.Removed());
	}

	// The registrations that are read first may be from before the outage.
	@Test
	public void removalIsDeferredIfTheRunnerRegisteredBeforeTheOutage() {
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		this.directory.put(entry(false));
		Assert.assertTrue(this.directory.remove(RUNNER, 10_000) instanceof RunnerDirectory.Removal.Deferred);
		this.directory.storeReachable(10_350);
		this.directory.put(entry(false));
		this.directory.expire(60_000);
		Assert.assertTrue(this.directory.find(RUNNER).isPresent());
	}

	@Test
	public void hostThatStartsDuringAnOutageDefersRemovals() {
		RunnerDirectory started = new RunnerDirectory();
		started.storeUnreachable();
		started.storeReachable(1_000);
		started.put(entry(false));
		started.storeReachable(1_350);
		Assert.assertTrue(started.remove(RUNNER, 1_350) instanceof RunnerDirectory.Removal.Deferred);
		Assert.assertTrue(started.find(RUNNER).isPresent());
	}

	@Test
	public void secondOutageStartsAnotherGracePeriod() {
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		this.directory.storeReachable(10_350);
		this.directory.put(entry(false));
		this.directory.storeUnreachable();
		this.directory.storeReachable(20_000);
		Assert.assertTrue(this.directory.remove(RUNNER, 20_000) instanceof RunnerDirectory.Removal.Deferred);
	}

	// The outage was one of this host alone.
	@Test
	public void removalIsAppliedOnceAnotherHostHasHadNoOutage() {
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		this.directory.remove(RUNNER, 10_010);
		Assert.assertEquals(this.directory.recordSteadyHost(10_300), List.of(RUNNER));
		Assert.assertTrue(this.directory.find(RUNNER).isEmpty());
	}

	@Test
	public void removalIsNotDeferredOnceAnotherHostHasHadNoOutage() {
		this.directory.storeUnreachable();
		this.directory.storeReachable(10_000);
		this.directory.recordSteadyHost(10_300);
		Assert.assertEquals(this.directory.remove(RUNNER, 10_400), new RunnerDirectory.Removal.Removed());
	}

	// A datagram from before the outage may be processed late, and one that arrives while
	// the store is unavailable tells nothing of the time after it.
	@Test
	public void earlyStatementsOfOtherHostsDoNotEndTheGracePeriod() {
		this.directory.storeUnreachable();
		this.directory.recordSteadyHost(9_900);
		this.directory.storeReachable(10_000);
		this.directory.recordSteadyHost(10_100);
		Assert.assertTrue(this.directory.remove(RUNNER, 10_110) instanceof RunnerDirectory.Removal.Deferred);
	}

	@DataProvider
	public Object[][] responses() {
		return new Object[][] { { "without a gap", true, new long[] { 1_000, 2_000, 2_600 } },
				{ "too short a time", false, new long[] { 1_000, 2_000 } },
				{ "with a gap", false, new long[] { 1_000, 2_600 } }, { "long ago", false, new long[0] } };
	}

	@Test(dataProvider = "responses")
	public void hostIsNotSteadySoonAfterAnOutage(String responses, boolean steady, long[] responseMillis) {
		for (long millis : responseMillis) {
			this.directory.storeReachable(millis);
		}
		long last = (responseMillis.length > 0) ? responseMillis[responseMillis.length - 1] : 3_000;
		Assert.assertEquals(this.directory.isSteady(last), steady, responses);
	}

	@Test
	public void hostIsNotSteadyAfterAFailedCall() {
		this.directory.storeReachable(1_400);
		this.directory.storeReachable(2_700);
		Assert.assertTrue(this.directory.isSteady(2_700));
		this.directory.storeUnreachable();
		this.directory.storeReachable(2_800);
		Assert.assertFalse(this.directory.isSteady(2_800));
	}

	private static RunnerEntry entry(boolean draining) {
		return new RunnerEntry(RUNNER, ServiceName.of("llm"), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), SoftwareVersion.of("v1"), 8, draining, 0);
	}

}
