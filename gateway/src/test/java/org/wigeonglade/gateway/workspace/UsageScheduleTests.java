package org.wigeonglade.gateway.workspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against hosts that together admit more than the limit of a workspace, on random
 * schedules of lag, loss, network partitions, pauses, restarts, membership and load. CI
 * runs the first 60 schedules; -Dusage.schedules=10000 runs all.
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
		double rate = Math.pow(10, random.nextDouble() * 2.7 - 0.3);
		UsageLimit limit = new UsageLimit(rate, rate * 2 * random.nextDouble());
		int lag = 1 + random.nextInt(30);
		SimulatedHosts hosts = new SimulatedHosts(seed, count, limit, lag, lag + random.nextInt(60),
				random.nextDouble() * 0.1);
		// Up to 7.5 times the usual rate, of which the limit is 1.6 times, after a pause
		// that
		// fills the buckets. Half of the disturbances begin within a moment of such a
		// step.
		List<Long> steps = new ArrayList<>();
		for (long at = 0; at < END_MILLIS; at += 1_000 + random.nextInt(4_000)) {
			steps.add(at);
		}
		for (int step = 0; step < steps.size(); step++) {
			long end = (step + 1 < steps.size()) ? steps.get(step + 1) : END_MILLIS;
			double factor = (step % 2 == 0) ? 0.6 * random.nextDouble() : 1.2 + 3.5 * random.nextDouble();
			hosts.load(steps.get(step), end, rate * factor, 1 + random.nextInt(3));
		}
		for (int number = 0; number < 4; number++) {
			long step = steps.get(random.nextInt(steps.size()));
			long at = random.nextBoolean() ? Math.max(0, step - 300 + random.nextInt(600))
					: random.nextLong(END_MILLIS);
			long length = 200 + random.nextInt(12_000);
			int kind = random.nextInt(8);
			for (int host = 0; host < count; host++) {
				disturb(hosts, random, kind, host, at, length);
			}
			hosts.at(at + length, hosts::join);
		}
		hosts.runUntil(END_MILLIS);
		return hosts;
	}

	private static void disturb(SimulatedHosts hosts, Random random, int kind, int host, long at, long length) {
		switch (kind) {
			case 0 -> hosts.at(at, () -> hosts.setSide(host, random.nextInt(2)));
			case 1 -> hosts.at(at, () -> hosts.setSide(host, (random.nextDouble() < 0.35) ? host + 1 : 0));
			case 2 -> hosts.at(at, () -> hosts.setSide(host, host));
			case 3 -> {
				if (random.nextDouble() < 0.35) {
					hosts.at(at, () -> hosts.setDeaf(host));
				}
			}
			case 4 -> {
				hosts.at(at, () -> hosts.kill(host));
				hosts.at(at + 2_000 + random.nextInt(6_000), () -> hosts.restart(host));
			}
			case 5 -> {
				if (random.nextInt(3) == 0) {
					hosts.at(at, () -> hosts.kill(host));
					hosts.at(at + 200 + length / 3, () -> hosts.restart(host));
				}
			}
			case 6 -> {
				if (random.nextDouble() < 0.35) {
					hosts.at(at, () -> hosts.pause(host, length));
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
