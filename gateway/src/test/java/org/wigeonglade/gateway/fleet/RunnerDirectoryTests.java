package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against a pool that empties because registrations expired during an outage of
 * the store, and against runners that stay after they have gone.
 */
public class RunnerDirectoryTests {

	private static final RunnerId RUNNER = RunnerId.of("r");

	private RunnerDirectory directory;

	@BeforeMethod
	public void registerRunner() {
		this.directory = new RunnerDirectory();
		this.directory.storeAnswered(0);
		this.directory.put(entry(false));
	}

	@Test
	public void removalInCalmTimesTakesEffectAtOnce() {
		Assert.assertTrue(this.directory.remove(RUNNER, 10_000));
		Assert.assertTrue(this.directory.find(RUNNER).isEmpty());
	}

	@Test
	public void removalRightAfterAnOutageWaitsForTheGracePeriod() {
		this.directory.storeLost();
		this.directory.storeAnswered(10_000);
		Assert.assertFalse(this.directory.remove(RUNNER, 10_100));
		this.directory.expire(10_000 + RunnerDirectory.RETURN_GRACE_MILLIS - 1);
		Assert.assertTrue(this.directory.find(RUNNER).isPresent());
		this.directory.expire(10_000 + RunnerDirectory.RETURN_GRACE_MILLIS);
		Assert.assertTrue(this.directory.find(RUNNER).isEmpty());
	}

	@Test
	public void runnerThatRegistersAgainStays() {
		this.directory.storeLost();
		this.directory.storeAnswered(10_000);
		this.directory.remove(RUNNER, 10_100);
		this.directory.put(entry(false));
		this.directory.expire(60_000);
		Assert.assertTrue(this.directory.find(RUNNER).isPresent());
	}

	@Test
	public void drainingRunnerIsGoneAlsoInTheGracePeriod() {
		this.directory.put(entry(true));
		this.directory.storeLost();
		this.directory.storeAnswered(10_000);
		Assert.assertTrue(this.directory.remove(RUNNER, 10_100));
	}

	private static RunnerEntry entry(boolean draining) {
		return new RunnerEntry(RUNNER, ServiceName.of("llm"), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), 8, draining, 0);
	}

}
