package org.wigeonglade.bench.demo;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Spreads requests over the hosts in turn and leaves out a host for a while after it
 * could not be reached, as the platform's load balancer does. Thread-safe.
 */
public final class LoadBalancer {

	private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Interval of readiness checks. */
	private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private final FleetFixture fixture;

	private final AtomicInteger turn = new AtomicInteger();

	private final Map<String, Long> pausedUntil = new ConcurrentHashMap<>();

	private final Map<String, Check> checks = new ConcurrentHashMap<>();

	/**
	 * Creates a balancer over all hosts of a fixture.
	 * @param fixture the fixture, not null
	 */
	public LoadBalancer(FleetFixture fixture) {
		this.fixture = fixture;
	}

	/**
	 * Returns the next host.
	 * @return a host, possibly one that was just lost
	 */
	public FleetMember next() {
		List<FleetMember> members = this.fixture.members();
		long now = System.nanoTime();
		FleetMember chosen = null;
		for (int i = 0; i < members.size(); i++) {
			chosen = members.get(Math.floorMod(this.turn.getAndIncrement(), members.size()));
			Long until = this.pausedUntil.get(chosen.name());
			if ((until == null || until - now <= 0) && isReady(chosen, now)) {
				return chosen;
			}
		}
		return chosen;
	}

	private boolean isReady(FleetMember member, long now) {
		Check check = this.checks.compute(member.name(),
				(name, last) -> (last == null || now - last.nanos > CHECK_NANOS)
						? new Check(now, !member.isUp() || member.host().isReady()) : last);
		return check.ready;
	}

	/**
	 * Leaves out a host for a while.
	 * @param member the host that could not be reached
	 */
	public void pause(FleetMember member) {
		this.pausedUntil.put(member.name(), System.nanoTime() + PAUSE_NANOS);
	}

	private record Check(long nanos, boolean ready) {
	}

}
