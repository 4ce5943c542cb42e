package org.wigeonglade.bench.model;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.gateway.fleet.Allowance;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.DecayedWorkspaceRates;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.OverloadPolicy;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RequestAdmission;
import org.wigeonglade.gateway.fleet.RequestClass;
import org.wigeonglade.gateway.fleet.RequestConstraints;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.SoftwareVersion;

/**
 * Measures the processor time of the admission and placement of a request.
 */
public final class DecisionTiming {

	private static final int SLOTS = 8;

	private static final int DECISIONS = 40_000;

	/** Decisions in a simulated millisecond. */
	private static final int DECISIONS_PER_MILLI = 5;

	private static final int URGENCIES = 3;

	private DecisionTiming() {
	}

	/**
	 * Measures after as many decisions for warm-up.
	 * @param runners the runners, at least 1
	 * @param online the requests at most runners; a third of them have one less
	 * @param workspaces the workspaces, at least 1
	 * @return the mean processor time of a decision in microseconds
	 */
	public static double measure(int runners, int online, int workspaces) {
		SplittableRandom random = new SplittableRandom(1);
		OverloadPolicy overload = new OverloadPolicy(random, new DecayedWorkspaceRates((id) -> 10));
		PlacementPolicy placement = new PlacementPolicy(random, () -> Duration.ofMillis(21));
		RequestConstraints constraints = new RequestConstraints(Duration.ofMillis(300), Duration.ofSeconds(5), true);
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < runners; i++) {
			candidates.add(candidate(i, online - ((i % 3 == 0) ? 1 : 0)));
		}
		List<RequestClass> classes = new ArrayList<>();
		for (int i = 0; i < workspaces; i++) {
			classes.add(new RequestClass(i % URGENCIES, Optional.of(WorkspaceId.of(Integer.toString(i))),
					Optional.empty()));
		}
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long startNanos = 0;
		for (int i = 0; i < 2 * DECISIONS; i++) {
			if (i == DECISIONS) {
				startNanos = threads.getCurrentThreadCpuTime();
			}
			new RequestAdmission(overload, placement, classes.get(i % workspaces)).place(candidates, constraints,
					i / DECISIONS_PER_MILLI);
		}
		return (threads.getCurrentThreadCpuTime() - startNanos) / 1_000.0 / DECISIONS;
	}

	private static Candidate candidate(int number, int online) {
		RunnerEntry entry = new RunnerEntry(RunnerId.of(Integer.toString(number)), ServiceName.of("model"),
				new InetSocketAddress("127.0.0.1", 1), FailureDomain.of("domain-0"), SoftwareVersion.of("v1"), SLOTS,
				false, 0);
		return new Candidate(entry, new LoadTracker.Load(online, 0), false, true, Duration.ofMillis(800),
				Allowance.UNLIMITED);
	}

}
