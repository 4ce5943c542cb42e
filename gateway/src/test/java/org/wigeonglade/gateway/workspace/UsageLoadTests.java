package org.wigeonglade.gateway.workspace;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against workspaces that are refused below their limit, and against hosts that
 * admit too much while one workspace sends far more than usual, with the lag and the
 * loads of 61 hosts.
 */
public class UsageLoadTests {

	private static final int HOSTS = 61;

	// Usual rate, exponent of the unevenness over hosts.
	@DataProvider
	public Object[][] usualLoads() {
		return new Object[][] { { 0.5, 1 }, { 0.5, 3 }, { 5, 3 }, { 85, 1 }, { 85, 3 } };
	}

	@Test(dataProvider = "usualLoads")
	public void workspaceBelowItsLimitIsAdmitted(double mean, int skew) {
		SimulatedHosts hosts = start(mean);
		for (long at = 3_000; at < 60_000; at += 5_800) {
			hosts.load(at, at + 2_400, 1.87 * mean, skew);
			hosts.load(at + 2_400, at + 5_800, 0.38 * mean, skew);
		}
		hosts.runUntil(60_000);
		Assert.assertTrue(hosts.getRejected() <= 0.01 * (hosts.getAdmitted() + hosts.getRejected()),
				hosts.getRejected() + " rejected, " + hosts.getAdmitted() + " admitted");
	}

	@Test
	public void saturatedLimitIsUsed() {
		SimulatedHosts hosts = start(85);
		hosts.load(3_000, 23_000, 640, 1);
		hosts.runUntil(23_000);
		Assert.assertTrue(hosts.getExcess() <= 0, "exceeds by " + hosts.getExcess());
		Assert.assertTrue(hosts.getAdmitted() >= 0.99 * 136 * 21, hosts.getAdmitted() + " admitted");
	}

	@Test
	public void burstOfOneWorkspaceIsLimitedAndEnds() {
		SimulatedHosts hosts = start(85);
		hosts.load(3_000, 10_000, 85, 1);
		hosts.runUntil(10_000);
		Assert.assertEquals(hosts.getRejected(), 0);
		hosts.load(10_000, 16_500, 7.5 * 85, 1);
		hosts.runUntil(16_500);
		Assert.assertTrue(hosts.getExcess() <= 0, "exceeds by " + hosts.getExcess());
		int before = hosts.getRejected();
		hosts.load(17_500, 22_000, 85, 1);
		hosts.runUntil(22_000);
		Assert.assertTrue(hosts.getRejected() - before <= 0.01 * 85 * 4.5, "rejected after the burst");
	}

	@Test
	public void partitionedHostsHaveTheirShareWithoutADetectionDelay() {
		SimulatedHosts hosts = start(85);
		hosts.at(8_000, () -> {
			for (int host = 0; host < HOSTS * 35 / 100; host++) {
				hosts.setSide(host, host + 1);
			}
		});
		hosts.load(8_000, 30_000, 7.5 * 85, 1);
		hosts.at(20_000, hosts::join);
		hosts.runUntil(30_000);
		Assert.assertTrue(hosts.getExcess() <= 0, "exceeds by " + hosts.getExcess());
	}

	private static SimulatedHosts start(double mean) {
		SimulatedHosts hosts = new SimulatedHosts(1, HOSTS, new UsageLimit(1.6 * mean, 1.6 * mean), 20, 70, 0.01);
		hosts.runUntil(3_000);
		return hosts;
	}

}
