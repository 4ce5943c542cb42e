package org.wigeonglade.entry.online;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;

import org.wigeonglade.core.time.Ticker;

/**
 * Runs suspected requests one at a time, each in isolation on a runner without other
 * work. Runs on one event loop.
 */
final class IsolationScheduler {

	/** Interval at which a reserved runner is checked, in milliseconds. */
	private static final long POLL_MILLIS = 10;

	/**
	 * Time between the reservation and the run, in milliseconds. Within it other hosts
	 * receive the reservation and batch work is stopped.
	 */
	private static final long PROPAGATION_MILLIS = 25;

	/**
	 * Bound of the random backoff after a reservation that conflicts with one of another
	 * host, in milliseconds; several times the delay of notices between hosts.
	 */
	private static final int MAX_CONFLICT_BACKOFF_MILLIS = 50;

	private final EventLoop loop;

	private final PeerNotifier notifier;

	private final ArrivalNotices arrivals;

	private final Ticker ticker;

	private final Random random;

	private final Deque<OnlineStream> waiting = new ArrayDeque<>();

	private OnlineStream current;

	private RunnerState reserved;

	private long reservedAtMillis;

	IsolationScheduler(EventLoop loop, PeerNotifier notifier, ArrivalNotices arrivals, Ticker ticker) {
		this.loop = loop;
		this.notifier = notifier;
		this.arrivals = arrivals;
		this.ticker = ticker;
		// Seeded by the name, so that hosts differ in their backoffs.
		this.random = new Random(notifier.getSelf().hashCode());
	}

	void submit(OnlineStream stream) {
		this.waiting.add(stream);
		startNext();
	}

	// Removes a request that ended while it waited or ran in isolation.
	void remove(OnlineStream stream) {
		this.waiting.remove(stream);
		if (this.current == stream) {
			this.current = null;
			release();
			startNext();
		}
	}

	private void startNext() {
		if (this.current == null && !this.waiting.isEmpty()) {
			this.current = this.waiting.poll();
			prepare(this.current);
		}
	}

	private void prepare(OnlineStream stream) {
		if (this.current != stream) {
			return;
		}
		if (this.reserved == null || !isEligible(this.reserved)) {
			release();
			findRunner(stream).ifPresent(this::reserve);
		}
		long now = this.ticker.millis();
		if (this.reserved != null && this.reserved.getRemoteOnlineInFlight(now) >= RunnerState.RESERVED_COUNT) {
			// Another host reserved the same runner at the same time. Each would wait
			// for the other, so both release the runner and retry after a random
			// backoff.
			release();
			this.loop.schedule(POLL_MILLIS + this.random.nextInt(MAX_CONFLICT_BACKOFF_MILLIS), () -> prepare(stream));
			return;
		}
		if (this.reserved != null && this.reserved.getOnlineInFlight() == 0
				&& now - this.reservedAtMillis >= PROPAGATION_MILLIS && isUnusedByOtherHosts(this.reserved, now)) {
			stream.start(this.reserved);
			return;
		}
		this.loop.schedule(POLL_MILLIS, () -> prepare(stream));
	}

	private Optional<RunnerState> findRunner(OnlineStream stream) {
		long now = this.ticker.millis();
		return stream.getAdmission()
			.getPool()
			.getLocalRunners()
			.stream()
			.filter(this::isEligible)
			.filter((r) -> r.getRemoteOnlineInFlight(now) < RunnerState.RESERVED_COUNT)
			.min(Comparator.<RunnerState, Boolean>comparing((r) -> stream.getFailedOn().contains(r.getMember().id()))
				.thenComparingInt((r) -> r.getOnlineInFlight() + r.getRemoteOnlineInFlight(now)));
	}

	// A runner whose breaker allows a probe is eligible: while a host drains, no
	// other request arrives that could close the breaker.
	private boolean isEligible(RunnerState runner) {
		return !runner.getMember().leaving() && runner.breakerAllows(this.ticker.nanos());
	}

	private static boolean isUnusedByOtherHosts(RunnerState runner, long nowMillis) {
		return runner.getRemoteOnlineInFlight(nowMillis) == 0;
	}

	private void reserve(RunnerState runner) {
		this.reserved = runner;
		this.reservedAtMillis = this.ticker.millis();
		runner.setReservedForOnline(true);
		this.arrivals.announce(runner);
		this.notifier.broadcastArrival(runner.getMember().domain(), runner.getMember(), RunnerState.RESERVED_COUNT);
	}

	private void release() {
		RunnerState runner = this.reserved;
		if (runner != null) {
			this.reserved = null;
			runner.setReservedForOnline(false);
			this.arrivals.announce(runner);
			this.notifier.broadcastArrival(runner.getMember().domain(), runner.getMember(), runner.getOnlineInFlight());
		}
	}

}
