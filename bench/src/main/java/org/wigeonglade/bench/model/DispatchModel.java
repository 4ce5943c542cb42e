package org.wigeonglade.bench.model;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.Allowance;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.IdleSlotAllocator;
import org.wigeonglade.gateway.fleet.Placement;
import org.wigeonglade.gateway.fleet.PlacementPolicy;
import org.wigeonglade.gateway.fleet.RequestConstraints;
import org.wigeonglade.gateway.fleet.RunnerCapacity;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.SoftwareVersion;

/**
 * Simulates hosts that place streams and batch items on runners by what they know of each
 * other. Streams come in bursts; items fill idle slots and give them back. The same
 * options give the same report.
 */
public final class DispatchModel {

	/** Time from one burst to the next in milliseconds. */
	static final double CYCLE_MILLIS = 5_800;

	/** Length of a burst in milliseconds. */
	static final double BURST_MILLIS = 2_400;

	/** Time to the first event within which a stream is in time. */
	static final double TARGET_MILLIS = 303;

	private static final double DEADLINE_MILLIS = 5_057;

	/** Time from the start of a run to its first event at a runner of mean speed. */
	private static final double FIRST_EVENT_MILLIS = 20;

	/** Way from a host to a runner or to another host in milliseconds. */
	private static final double WAY_MILLIS = 1;

	private static final double ITEM_STEP_MILLIS = 25;

	/** Time for which no item starts on a runner that has just given a slot back. */
	private static final double PREEMPTED_PAUSE_MILLIS = 60;

	/** Time after which the wait of a stream is reviewed. */
	private static final double REVIEW_MILLIS = 40;

	private static final int MOST_DECLINED = 4;

	private static final double SAMPLE_MILLIS = 10;

	/** Time between observations of a run, at which its speed may change. */
	private static final double OBSERVE_MILLIS = 100;

	/** Time between the datagrams of a host while its load changes. */
	private static final double REPORT_MILLIS = 60;

	private final ModelOptions options;

	private final Random random;

	/** Separate, so that arrivals do not depend on the placements. */
	private final Random arrivals;

	private final PlacementPolicy policy;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));

	private final List<RunnerEntry> entries = new ArrayList<>();

	private final List<ModelRunner> runners = new ArrayList<>();

	private final List<Deque<ModelWork>> waitingItems = new ArrayList<>();

	private final List<IdleSlotAllocator> allocators = new ArrayList<>();

	private final double[] pausedUntil;

	private final ModelView view;

	private final ModelObservations observations;

	private final ModelCallers callers;

	private final ModelStatistics statistics;

	private long eventCount;

	private double now;

	private DispatchModel(ModelOptions options) {
		this.options = options;
		this.random = new Random(options.seed());
		this.arrivals = new Random(~options.seed());
		this.policy = new PlacementPolicy(this.random, () -> Duration.ofMillis(options.farLagMillis()));
		this.view = new ModelView(options.hosts(), options.domains(), options.runners());
		this.pausedUntil = new double[options.runners()];
		this.callers = new ModelCallers(options, this.policy, this.random);
		this.statistics = new ModelStatistics(options);
		for (int i = 0; i < options.runners(); i++) {
			this.runners.add(new ModelRunner(options.slots(), options.queue()));
			this.entries.add(new RunnerEntry(RunnerId.of(Integer.toString(i)), ServiceName.of("model"),
					new InetSocketAddress("127.0.0.1", 1), domain(i), SoftwareVersion.of("v1"), options.slots(), false,
					0));
		}
		for (int i = 0; i < options.hosts(); i++) {
			this.waitingItems.add(new ArrayDeque<>());
			this.allocators.add(new IdleSlotAllocator(HostId.of("host-" + i)));
		}
		this.observations = new ModelObservations(options.hosts(), this.entries, this.view);
	}

	/**
	 * Runs the model.
	 * @param options the size and load, not null
	 * @return the report, never null
	 */
	public static ModelReport run(ModelOptions options) {
		return new DispatchModel(options).run();
	}

	private ModelReport run() {
		at(0, this::streamArrives);
		if (this.options.itemsPerSecond() > 0) {
			at(0, this::itemArrives);
		}
		at(ITEM_STEP_MILLIS, this::stepItems);
		at(SAMPLE_MILLIS, this::sample);
		at(OBSERVE_MILLIS, this::observeRuns);
		if (this.options.fleet().knowledge() == ModelSpeeds.Knowledge.LEARNED) {
			for (int host = 0; host < this.options.hosts(); host++) {
				int sender = host;
				at(REPORT_MILLIS * host / this.options.hosts(), () -> report(sender));
			}
		}
		double end = this.options.seconds() * 1_000.0;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= end) {
			Event next = this.events.poll();
			this.now = next.atMillis();
			next.action().run();
		}
		return this.statistics.getReport();
	}

	private void streamArrives() {
		boolean burst = this.now % CYCLE_MILLIS >= CYCLE_MILLIS - BURST_MILLIS;
		double quietFactor = (CYCLE_MILLIS - this.options.burstFactor() * BURST_MILLIS) / (CYCLE_MILLIS - BURST_MILLIS);
		double rate = this.options.streamsPerSecond() * (burst ? this.options.burstFactor() : quietFactor)
				* this.callers.getRateFactor(this.now);
		after(exponential(1_000 / rate), this::streamArrives);
		double slotTime = this.arrivals.nextDouble();
		double hold = this.options.holdMillis() * (0.6 + 0.8 * slotTime);
		ModelWork stream = new ModelWork(this.arrivals.nextInt(this.options.hosts()), false, this.now, hold);
		this.callers.classify(stream, slotTime, this.now, this.arrivals);
		this.statistics.streamArrived(stream);
		place(stream);
	}

	private void itemArrives() {
		double rate = this.options.itemsPerSecond() * this.options.contention().getJobsFactor(this.now);
		after(exponential(1_000 / rate), this::itemArrives);
		double hold = this.options.itemMillis() * (0.6 + 0.8 * this.arrivals.nextDouble());
		ModelWork item = new ModelWork(this.arrivals.nextInt(this.options.hosts()), true, this.now, hold);
		this.statistics.itemArrived(item);
		this.waitingItems.get(item.getHost()).add(item);
	}

	private void place(ModelWork work) {
		double age = this.now - work.getArrivedMillis();
		RequestConstraints constraints = new RequestConstraints(
				millis(TARGET_MILLIS - (this.now - work.getVisitedMillis())), millis(DEADLINE_MILLIS - age), true);
		switch (work.getAdmission().place(candidates(work), constraints, Math.round(this.now))) {
			case Placement.Send send -> {
				tellOthers(work);
				int runner = Integer.parseInt(send.runner().id().value());
				askToGiveWay(work, runner, send.preemptions());
				send(work, runner);
			}
			case Placement.Refuse refusal -> {
				if (!work.isSecondVisit()) {
					double pause = Math.min(refusal.retryAfter().toMillis(), (DEADLINE_MILLIS - age) / 3);
					after(pause, () -> {
						work.comeBack(this.now);
						this.statistics.returned(work);
						place(work);
					});
				}
				else {
					this.statistics.refused();
				}
			}
		}
	}

	private void tellOthers(ModelWork stream) {
		if (this.options.contention().admission() == ModelContention.Admission.EXCHANGED
				&& stream.getDeclinedBy().isEmpty()) {
			after(this.options.farLagMillis(), () -> this.callers.tellOthers(stream, Math.round(this.now)));
		}
	}

	private void send(ModelWork work, int runner) {
		count(work, runner, 1);
		if (!work.isBatch()) {
			this.statistics.sent(runner, this.now);
		}
		after(WAY_MILLIS, () -> {
			if (this.runners.get(runner).arrive(work)) {
				startNext(runner);
				after(REVIEW_MILLIS, () -> reviewWait(work, runner));
			}
			else {
				count(work, runner, -1);
				declined(work, runner);
			}
		});
	}

	private void reviewWait(ModelWork work, int runner) {
		if (work.isBatch() || !this.runners.get(runner).isWaiting(work)) {
			return;
		}
		int host = work.getHost();
		int preemptions = this.policy.getPreemptionsForWaitingRequest(candidate(host, runner),
				millis(this.now - work.getPreemptedMillis()));
		askToGiveWay(work, runner, preemptions);
		after(REVIEW_MILLIS, () -> reviewWait(work, runner));
	}

	private void declined(ModelWork work, int runner) {
		this.statistics.declined();
		this.observations.refused(work.getHost(), runner, this.now);
		if (work.isBatch()) {
			this.waitingItems.get(work.getHost()).addFirst(work);
			return;
		}
		work.getDeclinedBy().add(this.entries.get(runner).id());
		if (work.getDeclinedBy().size() >= MOST_DECLINED) {
			this.statistics.refused();
		}
		else {
			place(work);
		}
	}

	private void startNext(int runner) {
		ModelWork next = this.runners.get(runner).startNext();
		while (next != null) {
			ModelSpeeds fleet = this.options.fleet();
			boolean slow = fleet.episodeShare() > 0 && this.random.nextDouble() < fleet.episodeShare();
			next.start(this.now, slow ? this.now : -Double.MAX_VALUE);
			proceed(next, runner);
			if (!next.isBatch()) {
				this.statistics.started(next, this.now + FIRST_EVENT_MILLIS / fleet.speedOf(runner, this.now));
			}
			next = this.runners.get(runner).startNext();
		}
	}

	// Counts what a run has done, and lets it go on at the present speed of its runner.
	private void proceed(ModelWork work, int runner) {
		ModelSpeeds fleet = this.options.fleet();
		boolean slow = this.now < work.getEpisodeFromMillis() + fleet.episodeMillis();
		double elapsed = this.now - work.getProgressMillis();
		double done = work.proceed(this.now, fleet.speedOf(runner, this.now) * (slow ? fleet.episodeFactor() : 1));
		this.statistics.worked(done);
		if (elapsed > 0 && !work.isResponse() && fleet.knowledge() == ModelSpeeds.Knowledge.LEARNED) {
			this.observations.observe(work, runner, done, elapsed, this.now);
		}
		int step = work.getStep();
		after(work.getTimeLeft(), () -> {
			if (work.getStep() == step) {
				end(work, runner);
			}
		});
	}

	private void observeRuns() {
		after(OBSERVE_MILLIS, this::observeRuns);
		for (int runner = 0; runner < this.runners.size(); runner++) {
			for (ModelWork work : this.runners.get(runner).getRunning()) {
				proceed(work, runner);
			}
		}
	}

	private void report(int sender) {
		after(REPORT_MILLIS, () -> report(sender));
		List<RunnerId> loaded = this.view.getLoaded(sender).stream().map((r) -> this.entries.get(r).id()).toList();
		Map<RunnerId, Integer> codes = this.observations.report(sender, loaded, this.now);
		for (int host = 0; host < this.options.hosts(); host++) {
			int receiver = host;
			boolean near = this.view.domainOf(host) == this.view.domainOf(sender);
			if (host != sender) {
				after(near ? this.options.nearLagMillis() : this.options.farLagMillis(),
						() -> this.observations.receive(receiver, sender, codes, this.now));
			}
		}
	}

	private void end(ModelWork work, int runner) {
		proceed(work, runner);
		if (!this.runners.get(runner).remove(work)) {
			return;
		}
		if (work.isResponse()) {
			this.observations.responded(work, runner, this.now);
		}
		work.stop();
		count(work, runner, -1);
		if (work.isBatch()) {
			this.statistics.itemEnded(work, this.now);
		}
		startNext(runner);
	}

	private void askToGiveWay(ModelWork work, int runner, int count) {
		for (int i = 0; i < count; i++) {
			work.preempted(this.now);
			after(WAY_MILLIS, () -> preempt(runner));
		}
	}

	private void preempt(int runner) {
		ModelWork item = this.runners.get(runner).findItem();
		if (item == null) {
			return;
		}
		this.statistics.preempted();
		if (this.runners.get(runner).getRunning().contains(item)) {
			proceed(item, runner);
		}
		this.runners.get(runner).remove(item);
		count(item, runner, -1);
		item.stop();
		this.waitingItems.get(item.getHost()).addFirst(item);
		this.pausedUntil[runner] = this.now + PREEMPTED_PAUSE_MILLIS;
		startNext(runner);
	}

	private void stepItems() {
		after(ITEM_STEP_MILLIS, this::stepItems);
		Set<HostId> contenders = new HashSet<>();
		for (int host = 0; host < this.options.hosts(); host++) {
			if (!this.waitingItems.get(host).isEmpty()) {
				contenders.add(HostId.of("host-" + host));
			}
		}
		long round = Math.round(this.now / Math.max(40, this.options.hosts()));
		for (int host = 0; host < this.options.hosts(); host++) {
			stepItems(host, contenders, round);
		}
	}

	private void stepItems(int host, Set<HostId> contenders, long round) {
		Deque<ModelWork> waiting = this.waitingItems.get(host);
		while (!waiting.isEmpty()) {
			Optional<RunnerEntry> chosen = this.policy.placeBatch(candidates(waiting.peek()),
					(candidate) -> this.allocators.get(host)
						.tryAllocate(candidate.entry().id(), candidate.getFreeSlots(), round, contenders));
			if (chosen.isEmpty()) {
				return;
			}
			send(waiting.poll(), Integer.parseInt(chosen.get().id().value()));
		}
	}

	private List<Candidate> candidates(ModelWork work) {
		List<Candidate> candidates = new ArrayList<>();
		int gone = this.options.contention().getGoneRunners(this.entries.size(), this.now);
		for (int runner = gone; runner < this.entries.size(); runner++) {
			RunnerEntry entry = this.entries.get(runner);
			boolean paused = work.isBatch() && this.pausedUntil[runner] > this.now;
			if (!paused && !work.getDeclinedBy().contains(entry.id())) {
				candidates.add(candidate(work.getHost(), runner));
			}
		}
		return candidates;
	}

	private Candidate candidate(int host, int runner) {
		RunnerCapacity capacity = switch (this.options.fleet().knowledge()) {
			case NONE -> RunnerCapacity.UNKNOWN;
			case TRUE -> new RunnerCapacity(this.options.fleet().speedOf(runner, this.now), Integer.MAX_VALUE);
			case LEARNED -> this.observations.getCapacity(host, runner, this.now);
		};
		return new Candidate(this.entries.get(runner), this.view.getLoad(host, runner), false,
				domain(runner).equals(domain(host)), millis(this.options.holdMillis() / capacity.speed()),
				Allowance.UNLIMITED, capacity);
	}

	private void count(ModelWork work, int runner, int change) {
		int host = work.getHost();
		this.view.changeOwn(host, runner, work.isBatch(), change);
		after(this.options.nearLagMillis(), () -> this.view.tellNear(host, runner, work.isBatch(), change));
		after(this.options.farLagMillis(), () -> this.view.tellFar(host, runner, work.isBatch(), change));
	}

	private void sample() {
		after(SAMPLE_MILLIS, this::sample);
		this.statistics.sample(this.runners);
	}

	private FailureDomain domain(int index) {
		return FailureDomain.of("domain-" + this.view.domainOf(index));
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.arrivals.nextDouble());
	}

	private static Duration millis(double value) {
		return Duration.ofMillis(Math.round(value));
	}

	private void after(double delayMillis, Runnable action) {
		at(this.now + delayMillis, action);
	}

	private void at(double millis, Runnable action) {
		this.events.add(new Event(millis, ++this.eventCount, action));
	}

	private record Event(double atMillis, long number, Runnable action) {

	}

}
