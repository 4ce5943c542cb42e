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

	private static final double TARGET_MILLIS = 303;

	private static final double DEADLINE_MILLIS = 5_057;

	private static final double DUE_MILLIS = 18_000;

	/** Time from the start of a run to its first event in milliseconds. */
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

	/** Differences of simulated time below this are rounding, in milliseconds. */
	private static final double CLOCK_STEP_MILLIS = 0.001;

	private final ModelOptions options;

	private final Random random;

	private final PlacementPolicy policy;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));

	private final List<RunnerEntry> entries = new ArrayList<>();

	private final List<ModelRunner> runners = new ArrayList<>();

	private final List<Deque<ModelWork>> waitingItems = new ArrayList<>();

	private final List<IdleSlotAllocator> allocators = new ArrayList<>();

	private final double[] pausedUntil;

	private final ModelView view;

	private final List<Double> firstMillis = new ArrayList<>();

	private final ModelCallers callers;

	private final ModelShares shares;

	private long eventCount;

	private double now;

	private int streams;

	private int late;

	private int secondVisit;

	private int refused;

	private int declined;

	private int items;

	private int itemsInTime;

	private int preemptions;

	private int samples;

	private long idleSum;

	private long batchSum;

	private DispatchModel(ModelOptions options) {
		this.options = options;
		this.random = new Random(options.seed());
		this.policy = new PlacementPolicy(this.random, () -> Duration.ofMillis(options.farLagMillis()));
		this.view = new ModelView(options.hosts(), options.domains(), options.runners());
		this.pausedUntil = new double[options.runners()];
		this.callers = new ModelCallers(options, this.policy, this.random);
		this.shares = new ModelShares(options.contention());
		for (int i = 0; i < options.runners(); i++) {
			this.runners.add(new ModelRunner(options.slots()));
			this.entries.add(new RunnerEntry(RunnerId.of(Integer.toString(i)), ServiceName.of("model"),
					new InetSocketAddress("127.0.0.1", 1), domain(i), SoftwareVersion.of("v1"), options.slots(), false,
					0));
		}
		for (int i = 0; i < options.hosts(); i++) {
			this.waitingItems.add(new ArrayDeque<>());
			this.allocators.add(new IdleSlotAllocator(HostId.of("host-" + i)));
		}
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
		double end = this.options.seconds() * 1_000.0;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= end) {
			Event next = this.events.poll();
			this.now = next.atMillis();
			next.action().run();
		}
		this.firstMillis.sort(null);
		return new ModelReport(this.streams, this.late, this.secondVisit, this.refused, this.declined, this.items,
				this.itemsInTime, this.preemptions, List.copyOf(this.firstMillis),
				(double) this.idleSum / Math.max(1, this.samples), (double) this.batchSum / Math.max(1, this.samples),
				(this.options.contention().workspaces() > 0) ? this.shares.getFigures() : Map.of());
	}

	private void streamArrives() {
		boolean burst = this.now % CYCLE_MILLIS >= CYCLE_MILLIS - BURST_MILLIS;
		double quietFactor = (CYCLE_MILLIS - this.options.burstFactor() * BURST_MILLIS) / (CYCLE_MILLIS - BURST_MILLIS);
		double rate = this.options.streamsPerSecond() * (burst ? this.options.burstFactor() : quietFactor)
				* this.callers.getRateFactor(this.now);
		after(exponential(1_000 / rate), this::streamArrives);
		this.streams++;
		double slotTime = this.random.nextDouble();
		double hold = this.options.holdMillis() * (0.6 + 0.8 * slotTime);
		ModelWork stream = new ModelWork(this.random.nextInt(this.options.hosts()), false, this.now, hold);
		this.callers.classify(stream, slotTime, this.now, this.random);
		this.shares.arrived(stream);
		place(stream);
	}

	private void itemArrives() {
		double rate = this.options.itemsPerSecond() * this.options.contention().getJobsFactor(this.now);
		after(exponential(1_000 / rate), this::itemArrives);
		double hold = this.options.itemMillis() * (0.6 + 0.8 * this.random.nextDouble());
		ModelWork item = new ModelWork(this.random.nextInt(this.options.hosts()), true, this.now, hold);
		if (this.now + DUE_MILLIS <= this.options.seconds() * 1_000.0) {
			this.items++;
		}
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
						this.shares.returned(work);
						place(work);
					});
				}
				else {
					this.refused++;
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
		this.declined++;
		if (work.isBatch()) {
			this.waitingItems.get(work.getHost()).addFirst(work);
			return;
		}
		work.getDeclinedBy().add(this.entries.get(runner).id());
		if (work.getDeclinedBy().size() >= MOST_DECLINED) {
			this.refused++;
		}
		else {
			place(work);
		}
	}

	private void startNext(int runner) {
		ModelWork next = this.runners.get(runner).startNext();
		while (next != null) {
			ModelWork started = next;
			started.start(this.now);
			if (!started.isBatch()) {
				recordFirst(started);
			}
			after(started.getRemainingMillis(), () -> end(started, runner));
			next = this.runners.get(runner).startNext();
		}
	}

	private void end(ModelWork work, int runner) {
		// An item that gave its slot back meanwhile has not ended.
		boolean ended = work.getElapsedMillis(this.now) >= work.getRemainingMillis() - CLOCK_STEP_MILLIS;
		if (!ended || !this.runners.get(runner).remove(work)) {
			return;
		}
		count(work, runner, -1);
		if (work.isBatch() && work.getArrivedMillis() + DUE_MILLIS <= this.options.seconds() * 1_000.0
				&& this.now - work.getArrivedMillis() <= DUE_MILLIS) {
			this.itemsInTime++;
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
		this.preemptions++;
		this.runners.get(runner).remove(item);
		count(item, runner, -1);
		item.stop(this.now);
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
		return new Candidate(this.entries.get(runner), this.view.getLoad(host, runner), false,
				domain(runner).equals(domain(host)), millis(this.options.holdMillis()), Allowance.UNLIMITED);
	}

	private void count(ModelWork work, int runner, int change) {
		int host = work.getHost();
		this.view.changeOwn(host, runner, work.isBatch(), change);
		after(this.options.nearLagMillis(), () -> this.view.tellNear(host, runner, work.isBatch(), change));
		after(this.options.farLagMillis(), () -> this.view.tellFar(host, runner, work.isBatch(), change));
	}

	private void recordFirst(ModelWork stream) {
		double firstEvent = this.now + FIRST_EVENT_MILLIS;
		this.firstMillis.add(firstEvent - stream.getArrivedMillis());
		if (firstEvent - stream.getVisitedMillis() > TARGET_MILLIS) {
			this.late++;
			return;
		}
		this.shares.servedInTime(stream);
		if (stream.isSecondVisit()) {
			this.secondVisit++;
		}
	}

	private void sample() {
		after(SAMPLE_MILLIS, this::sample);
		if (this.runners.stream().anyMatch(ModelRunner::isStreamWaiting)) {
			this.samples++;
			this.idleSum += this.runners.stream().mapToInt(ModelRunner::getIdleSlots).sum();
			this.batchSum += this.runners.stream().mapToInt(ModelRunner::getBatchSlots).sum();
		}
	}

	private FailureDomain domain(int index) {
		return FailureDomain.of("domain-" + this.view.domainOf(index));
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
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
