package org.wigeonglade.entry.online;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;

import org.wigeonglade.core.time.Ticker;

/**
 * Runs suspected requests one at a time, each alone on a runner without online work. Runs
 * on one event loop.
 */
final class Isolation {

	/** Interval at which a reserved runner is looked at, in milliseconds. */
	private static final long POLL_MILLIS = 10;

	/**
	 * Time between the reservation and the run, in milliseconds: other hosts must have
	 * taken notice and batch work must have been stopped.
	 */
	private static final long SETTLE_MILLIS = 25;

	/**
	 * Longest additional time before a reservation that met another one is tried again,
	 * in milliseconds; several times the time in which hosts hear of each other.
	 */
	private static final int GIVE_WAY_MILLIS = 50;

	private final EventLoop loop;

	private final HostLinks links;

	private final ArrivalNotices arrivals;

	private final Ticker ticker;

	private final Random random;

	private final Deque<OnlineStream> waiting = new ArrayDeque<>();

	private OnlineStream current;

	private RunnerState reserved;

	private long reservedAtMillis;

	Isolation(EventLoop loop, HostLinks links, ArrivalNotices arrivals, Ticker ticker) {
		this.loop = loop;
		this.links = links;
		this.arrivals = arrivals;
		this.ticker = ticker;
		// Hosts must differ in their delays.
		this.random = new Random(links.getSelf().hashCode());
	}

	void submit(OnlineStream stream) {
		this.waiting.add(stream);
		next();
	}

	// Takes the end of a request that waited or ran alone.
	void ended(OnlineStream stream) {
		this.waiting.remove(stream);
		if (this.current == stream) {
			this.current = null;
			release();
			next();
		}
	}

	private void next() {
		if (this.current == null && !this.waiting.isEmpty()) {
			this.current = this.waiting.poll();
			prepare(this.current);
		}
	}

	private void prepare(OnlineStream stream) {
		if (this.current != stream) {
			return;
		}
		if (this.reserved == null || !isFit(this.reserved)) {
			release();
			find(stream).ifPresent(this::reserve);
		}
		long now = this.ticker.millis();
		if (this.reserved != null && this.reserved.getOthersOnline(now) >= RunnerState.RESERVED) {
			// Another host reserved the same runner at the same time. Each would wait for
			// the other one; both give way for a time of their own.
			release();
			this.loop.schedule(POLL_MILLIS + this.random.nextInt(GIVE_WAY_MILLIS), () -> prepare(stream));
			return;
		}
		if (this.reserved != null && this.reserved.getOnline() == 0 && now - this.reservedAtMillis >= SETTLE_MILLIS
				&& isIdle(this.reserved, now)) {
			stream.start(this.reserved);
			return;
		}
		this.loop.schedule(POLL_MILLIS, () -> prepare(stream));
	}

	private Optional<RunnerState> find(OnlineStream stream) {
		long now = this.ticker.millis();
		return stream.getAdmission()
			.getPool()
			.getLocal()
			.stream()
			.filter(this::isFit)
			.filter((r) -> r.getOthersOnline(now) < RunnerState.RESERVED)
			.min(Comparator.<RunnerState, Boolean>comparing((r) -> stream.getFailedOn().contains(r.getMember().id()))
				.thenComparingInt((r) -> r.getOnline() + r.getOthersOnline(now)));
	}

	// A runner whose breaker lets a probe through is fit: on a host that drains, no other
	// request comes that could close the breaker.
	private boolean isFit(RunnerState runner) {
		return !runner.getMember().leaving() && runner.mayDispatch(this.ticker.nanos());
	}

	private static boolean isIdle(RunnerState runner, long nowMillis) {
		return runner.getOthersOnline(nowMillis) == 0;
	}

	private void reserve(RunnerState runner) {
		this.reserved = runner;
		this.reservedAtMillis = this.ticker.millis();
		runner.setReserved(true);
		this.arrivals.changed(runner);
		this.links.broadcastArrival(runner.getMember().domain(), runner.getMember(), RunnerState.RESERVED);
	}

	private void release() {
		RunnerState runner = this.reserved;
		if (runner != null) {
			this.reserved = null;
			runner.setReserved(false);
			this.arrivals.changed(runner);
			this.links.broadcastArrival(runner.getMember().domain(), runner.getMember(), runner.getOnline());
		}
	}

}
