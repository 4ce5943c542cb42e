package org.wigeonglade.gateway.workspace;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * Hosts that limit one workspace and exchange datagrams as the gateway does, in simulated
 * time: changes are coalesced, heartbeats are sent every 250 ms, datagrams are delayed
 * and lost, and links are cut.
 */
final class SimulatedHosts {

	static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

	private static final long WINDOW_MILLIS = 5_000;

	private final Random random;

	private final UsageLimit limit;

	private final int minLagMillis;

	private final int maxLagMillis;

	private final double loss;

	private final Host[] hosts;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Long> admissions = new ArrayList<>();

	private long now;

	private long sequence;

	private int rejected;

	SimulatedHosts(long seed, int hosts, UsageLimit limit, int minLagMillis, int maxLagMillis, double loss) {
		this.random = new Random(seed);
		this.limit = limit;
		this.minLagMillis = minLagMillis;
		this.maxLagMillis = maxLagMillis;
		this.loss = loss;
		this.hosts = new Host[hosts];
		for (int index = 0; index < hosts; index++) {
			this.hosts[index] = new Host(index);
			this.hosts[index].registered = true;
		}
		Arrays.stream(this.hosts).forEach(Host::start);
	}

	int getAdmitted() {
		return this.admissions.size();
	}

	int getRejected() {
		return this.rejected;
	}

	void at(long millis, Runnable task) {
		this.events.add(new Event(millis, this.sequence++, task));
	}

	// Hosts of different sides do not receive each other's datagrams.
	void setSide(int host, int side) {
		this.hosts[host].side = side;
	}

	// The host receives no datagrams, but its own arrive.
	void setDeaf(int host) {
		this.hosts[host].deaf = true;
	}

	void join() {
		Arrays.stream(this.hosts).forEach((host) -> {
			host.side = 0;
			host.deaf = false;
		});
	}

	void kill(int host) {
		this.hosts[host].limiter = null;
	}

	// The process stands still; datagrams and requests wait for it.
	void pause(int host, long millis) {
		this.hosts[host].pauseEndMillis = this.now + millis;
	}

	void deregister(int host) {
		kill(host);
		this.hosts[host].registered = false;
	}

	void restart(int host) {
		if (this.hosts[host].limiter == null) {
			this.hosts[host].start();
		}
	}

	void request(int host) {

		Host target = this.hosts[host];
		if (target.defers(() -> request(host)) || target.limiter == null) {
			return;
		}
		boolean admitted = target.limiter.tryAdmit(WORKSPACE, this.now) instanceof UsageDecision.Admit;
		if (admitted) {
			this.admissions.add(this.now);
			target.scheduleReport();
		}
		else {
			this.rejected++;
		}
	}

	// Requests arrive at random at the rate; the hosts of a low number get more of them
	// with a larger skew.
	void load(long from, long to, double perSecond, double skew) {
		double millis = from + nextInterval(perSecond);
		while (millis < to) {
			int host = (int) (Math.pow(this.random.nextDouble(), skew) * this.hosts.length);
			at((long) millis, () -> request(host));
			millis += nextInterval(perSecond);
		}
	}

	private double nextInterval(double perSecond) {
		return -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
	}

	void runUntil(long millis) {
		while (!this.events.isEmpty() && this.events.peek().millis <= millis) {
			Event event = this.events.poll();
			this.now = event.millis;
			event.task.run();
		}
		this.now = millis;
	}

	// The largest excess over the permitted number in any window of 5 s.
	double getExcess() {
		double allowed = (this.limit.requestsPerSecond() * WINDOW_MILLIS / 1_000 + this.limit.burst()) * 1.1 + 20;
		int worst = 0;
		int first = 0;
		for (int last = 0; last < this.admissions.size(); last++) {
			while (this.admissions.get(last) - this.admissions.get(first) >= WINDOW_MILLIS) {
				first++;
			}
			worst = Math.max(worst, last - first + 1);
		}
		return worst - allowed;
	}

	private final class Host {

		private final int index;

		private final HostId id;

		private final Map<Integer, Long> received = new HashMap<>();

		private WorkspaceRateLimiter limiter;

		private long incarnation;

		private int side;

		private boolean registered;

		private boolean deaf;

		private long pauseEndMillis;

		private boolean scheduled;

		private long sentMillis;

		private Host(int index) {
			this.index = index;
			this.id = HostId.of("host-" + index);
		}

		private void start() {
			this.incarnation++;
			this.scheduled = false;
			this.received.clear();
			WorkspaceRateLimiter started = new WorkspaceRateLimiter(this.incarnation,
					new Random(SimulatedHosts.this.random.nextLong()), SimulatedHosts.this.now);
			this.limiter = started;
			this.registered = true;
			started.setLimits(Map.of(WORKSPACE, SimulatedHosts.this.limit), SimulatedHosts.this.now);
			at(SimulatedHosts.this.now + SimulatedHosts.this.random.nextInt(250), () -> tick(started));
		}

		private void setMembers() {
			Map<HostId, Long> members = new HashMap<>();
			for (Host peer : SimulatedHosts.this.hosts) {
				if (peer != this && peer.registered) {
					members.put(peer.id, peer.incarnation);
				}
			}
			this.limiter.setMembers(members, SimulatedHosts.this.now);
		}

		private void tick(WorkspaceRateLimiter started) {
			if (this.limiter != started || defers(() -> tick(started))) {
				return;
			}
			setMembers();
			sendReports();
			if (SimulatedHosts.this.now - this.sentMillis >= 250) {
				send();
			}
			at(SimulatedHosts.this.now + 250, () -> tick(started));
		}

		private void scheduleReport() {
			if (!this.scheduled) {
				this.scheduled = true;
				WorkspaceRateLimiter started = this.limiter;
				long coalescing = Math.round(0.35 * SimulatedHosts.this.hosts.length);
				at(SimulatedHosts.this.now + coalescing, () -> sendScheduled(started));
			}
		}

		private void sendScheduled(WorkspaceRateLimiter started) {
			if (this.limiter == started && !defers(() -> sendScheduled(started))) {
				this.scheduled = false;
				send();
			}
		}

		private boolean defers(Runnable task) {
			boolean paused = SimulatedHosts.this.now < this.pauseEndMillis;
			if (paused) {
				at(this.pauseEndMillis, task);
			}
			return paused;
		}

		private void sendReports() {
			for (HostId host : this.limiter.takeReportsDue(SimulatedHosts.this.now)) {
				send(SimulatedHosts.this.hosts[Integer.parseInt(host.value().substring(5))],
						this.limiter.getReport(SimulatedHosts.this.now));
			}
		}

		private void send() {
			this.sentMillis = SimulatedHosts.this.now;
			List<UsageEntry> entries = this.limiter.getChanges(SimulatedHosts.this.now);
			for (Host peer : SimulatedHosts.this.hosts) {
				if (peer != this) {
					send(peer, entries);
				}
			}
		}

		private void send(Host peer, List<UsageEntry> entries) {
			if (this.side != peer.side || peer.deaf
					|| SimulatedHosts.this.random.nextDouble() < SimulatedHosts.this.loss) {
				return;
			}
			int lag = SimulatedHosts.this.minLagMillis + SimulatedHosts.this.random
				.nextInt(SimulatedHosts.this.maxLagMillis - SimulatedHosts.this.minLagMillis + 1);
			long started = this.incarnation;
			long number = SimulatedHosts.this.sequence;
			at(SimulatedHosts.this.now + lag, () -> peer.receive(this, started, number, entries));
		}

		private void receive(Host sender, long started, long number, List<UsageEntry> entries) {
			if (defers(() -> receive(sender, started, number, entries)) || this.limiter == null) {
				return;
			}
			this.limiter.heard(sender.id, started, false, SimulatedHosts.this.now);
			if (this.received.getOrDefault(sender.index, -1L) <= number) {
				this.received.put(sender.index, number);
				this.limiter.apply(sender.id, started, entries, SimulatedHosts.this.now);
			}
			sendReports();
		}

	}

	private record Event(long millis, long order, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.millis, other.millis);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
