package org.wigeonglade.gateway.workspace;

import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against hosts that together admit more than the limit of a workspace, on random
 * schedules of lag, loss, network partitions, restarts and load. CI runs the first 60
 * schedules; -Dusage.schedules=10000 runs all.
 */
public class UsageScheduleTests {

	private static final int SCHEDULES = Integer.getInteger("usage.schedules", 60);

	private static final long END_MILLIS = 30_000;

	@Test
	public void noScheduleExceedsThePermittedSum() {
		int violations = 0;
		StringBuilder worst = new StringBuilder();
		for (int seed = 0; seed < SCHEDULES; seed++) {
			SimulatedHosts hosts = play(seed);
			if (hosts.getExcess() > 0) {
				violations++;
				worst.append(" seed ").append(seed).append(" by ").append(Math.round(hosts.getExcess()));
			}
		}
		Assert.assertEquals(violations, 0, "schedules of " + SCHEDULES + ":" + worst);
	}

	private static SimulatedHosts play(int seed) {
		Random random = new Random(seed);
		int count = new int[] { 2, 3, 5, 8, 11, 16 }[random.nextInt(6)];
		double rate = Math.pow(10, random.nextDouble() * 2.4 - 0.3);
		UsageLimit limit = new UsageLimit(rate, rate * 2 * random.nextDouble());
		int lag = 1 + random.nextInt(30);
		SimulatedHosts hosts = new SimulatedHosts(seed, count, limit, lag, lag + random.nextInt(60),
				random.nextDouble() * 0.1);
		for (long at = random.nextInt(4_000); at < END_MILLIS; at += 500 + random.nextInt(8_000)) {
			long length = 200 + random.nextInt(12_000);
			int kind = random.nextInt(6);
			for (int host = 0; host < count; host++) {
				disturb(hosts, random, kind, host, at, length);
			}
			hosts.at(at + length, hosts::join);
		}
		// Up to 7.5 times the usual rate, of which the limit is 1.6 times.
		for (long at = 0; at < END_MILLIS; at += 2_500) {
			double factor = new double[] { 0.1, 0.6, 1.2, 4.7 }[random.nextInt(4)];
			hosts.load(at, at + 2_500, rate * factor, 1 + random.nextInt(3));
		}
		hosts.runUntil(END_MILLIS);
		return hosts;
	}

	private static void disturb(SimulatedHosts hosts, Random random, int kind, int host, long at, long length) {
		switch (kind) {
			case 0 -> hosts.at(at, () -> hosts.setSide(host, random.nextInt(2)));
			case 1 -> hosts.at(at, () -> hosts.setSide(host, (random.nextDouble() < 0.35) ? host + 1 : 0));
			case 2 -> {
				if (random.nextDouble() < 0.35) {
					hosts.at(at, () -> hosts.setDeaf(host));
				}
			}
			case 3 -> {
				hosts.at(at, () -> hosts.kill(host));
				hosts.at(at + 2_000 + random.nextInt(6_000), () -> hosts.restart(host));
			}
			case 4 -> {
				if (random.nextInt(3) == 0) {
					hosts.at(at, () -> hosts.kill(host));
					hosts.at(at + 200 + length / 3, () -> hosts.restart(host));
				}
			}
			default -> {
				if (random.nextInt(3) == 0) {
					hosts.at(at, () -> hosts.deregister(host));
					hosts.at(at + length, () -> hosts.restart(host));
				}
			}
		}
	}

}
