package org.wigeonglade.gateway.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against runners that crash because hosts together send them more tokens than
 * their memory holds, and against memory that is kept idle out of caution.
 */
public class KvMemoryPolicyTests {

	private static final ServiceName SERVICE = ServiceName.of("chat");

	private static final long CAPACITY = 72_000;

	private static final HostId OTHER = HostId.of("other");

	@Test
	public void requestBeyondTheMemoryFitsNowhereAndIsNamed() {
		KvMemoryPolicy policy = policy(new KvMemoryTracker(), true);
		Assert.assertTrue(policy.findExcess(SERVICE, CAPACITY + 1).isPresent());
		Assert.assertTrue(policy.selectFitting(List.of(runner(0, 0)), CAPACITY + 1, false).isEmpty());
		Assert.assertTrue(policy.findExcess(SERVICE, CAPACITY).isEmpty());
		Assert.assertEquals(policy.selectFitting(List.of(runner(0, 0)), CAPACITY, false).size(), 1);
	}

	@Test
	public void serviceWithoutCapacityIsNotAffected() {
		KvMemoryPolicy policy = KvMemoryPolicy.none();
		List<Candidate> all = List.of(runner(0, 8), runner(1, 0));
		Assert.assertSame(policy.selectFitting(all, Long.MAX_VALUE, true), all);
		Assert.assertEquals(policy.charge(runner(0, 0).entry(), 5_000), 0);
		Assert.assertTrue(policy.getTracker().getLocal().isEmpty());
	}

	@Test
	public void cancelledRequestIsCountedUntilItsRunnerHasDroppedIt() {
		KvMemoryTracker tracker = new KvMemoryTracker();
		RunnerId runner = RunnerId.of("0");
		tracker.add(runner, 500);
		tracker.add(runner, 300);
		tracker.remove(runner, 500, false, 1_000);
		tracker.remove(runner, 300, true, 1_000);
		Assert.assertFalse(tracker.expire(1_050));
		Assert.assertEquals(tracker.getTokens(runner), 500);
		Assert.assertTrue(tracker.expire(1_100));
		Assert.assertEquals(tracker.getTokens(runner), 0);
	}

	@Test
	public void silentHostKeepsWhatItReportedAndReorderedReportsAreDropped() {
		KvMemoryTracker tracker = new KvMemoryTracker();
		RunnerId runner = RunnerId.of("0");
		tracker.applyReport(OTHER, 1, 2, Map.of(runner, 60_000), 0);
		tracker.applyReport(OTHER, 1, 1, Map.of(runner, 10), 5);
		Assert.assertEquals(tracker.getTokens(runner), 60_000);
		Assert.assertTrue(policy(tracker, false).selectFitting(List.of(runner(0, 0)), 13_000, false).isEmpty());
		tracker.expire(KvMemoryTracker.REPORT_LIFETIME_MILLIS + 1);
		Assert.assertEquals(policy(tracker, true).selectFitting(List.of(runner(0, 0)), 13_000, false).size(), 1);
	}

	@Test
	public void batchItemsLeaveMemoryToOnlineRequests() {
		KvMemoryTracker tracker = new KvMemoryTracker();
		tracker.add(RunnerId.of("0"), 50_000);
		KvMemoryPolicy policy = policy(tracker, true);
		Assert.assertTrue(policy.selectFitting(List.of(runner(0, 1)), 8_000, true).isEmpty());
		Assert.assertEquals(policy.selectFitting(List.of(runner(0, 1)), 8_000, false).size(), 1);
	}

	@DataProvider
	public Object[][] loads() {
		// requests per second, largest size, report lag in ms, whether hosts are lost,
		// least share of requests that is served
		return new Object[][] { { 240, 6_000, 21, false, 0.99 }, { 244, 13_000, 21, false, 0.85 },
				{ 460, 13_000, 45, true, 0.5 }, { 900, 13_000, 30, true, 0.5 } };
	}

	@Test(dataProvider = "loads")
	public void noRunnerEverHoldsMoreThanItsMemory(int perSecond, int largest, int lagMillis, boolean lost,
			double leastServed) {
		Replay replay = new Replay(perSecond, largest, lagMillis, lost, new Random(7));
		for (int now = 0; now < 12_000; now++) {
			replay.step(now);
		}
		String result = perSecond + "/s: most tokens " + replay.most + ", served " + replay.served + " of "
				+ replay.arrived + ", refused for memory " + replay.refusedForMemory;
		Reporter.log(result, true);
		Assert.assertTrue(replay.most <= CAPACITY, result);
		Assert.assertTrue(replay.served >= leastServed * replay.arrived, result);
	}

	private static KvMemoryPolicy policy(KvMemoryTracker tracker, boolean alive) {
		return new KvMemoryPolicy(tracker, (service) -> OptionalLong.of(CAPACITY), () -> Duration.ofMillis(21),
				() -> List.of(new KvMemoryPolicy.HostStatus(OTHER, alive)));
	}

	private static Candidate runner(int id, int online) {
		return candidate(Integer.toString(id), new LoadTracker.Load(online, 0));
	}

	private static Candidate candidate(String id, LoadTracker.Load load) {
		RunnerEntry entry = new RunnerEntry(RunnerId.of(id), SERVICE, new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), SoftwareVersion.UNKNOWN, 8, false, 1);
		return new Candidate(entry, load, false, true, Duration.ofMillis(800), Allowance.UNLIMITED);
	}

	/**
	 * Hosts that place requests on runners by reports that arrive late, in steps of 1 ms.
	 */
	private static final class Replay {

		private static final int RUNNERS = 62;

		private static final int HOSTS = 61;

		private final int perSecond;

		private final int largest;

		private final int lagMillis;

		private final boolean lost;

		private final Random random;

		private final List<Host> hosts;

		private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));

		private final long[] held = new long[RUNNERS];

		private final List<List<Running>> running = new ArrayList<>();

		private long now;

		private long most;

		private int arrived;

		private int served;

		private int refusedForMemory;

		private Replay(int perSecond, int largest, int lagMillis, boolean lost, Random random) {
			this.perSecond = perSecond;
			this.largest = largest;
			this.lagMillis = lagMillis;
			this.lost = lost;
			this.random = random;
			IntStream.range(0, RUNNERS).forEach((i) -> this.running.add(new ArrayList<>()));
			this.hosts = IntStream.range(0, HOSTS).mapToObj((i) -> new Host(i)).toList();
		}

		// A third of the hosts is partitioned from 3 to 6 s, and a tenth is killed at 8
		// s.
		private boolean areConnected(int a, int b) {
			return !this.lost || this.now < 3_000 || this.now >= 6_000 || (a % 3 == 0) == (b % 3 == 0);
		}

		private boolean isKilled(int host) {
			return this.lost && this.now >= 8_000 && host % 10 == 1;
		}

		private void step(int millis) {
			this.now = millis;
			while (!this.events.isEmpty() && this.events.peek().at <= this.now) {
				this.events.poll().action.run();
			}
			for (Host host : this.hosts) {
				if (isKilled(host.index)) {
					this.running.forEach((requests) -> List.copyOf(requests)
						.stream()
						.filter((r) -> r.host == host)
						.forEach((r) -> end(r, false)));
				}
				else if ((millis + host.index) % 250 == 0) {
					host.report();
				}
			}
			double load = ((millis % 5_800) < 2_400) ? 1.87 : 0.38;
			if (this.random.nextDouble() < this.perSecond * load / 1_000) {
				Host host = this.hosts.get(this.random.nextInt(HOSTS));
				if (!isKilled(host.index)) {
					this.arrived++;
					place(host, 200 + this.random.nextInt(this.largest - 199));
				}
			}
		}

		private void place(Host host, long size) {
			List<Candidate> all = new ArrayList<>();
			for (int i = 0; i < RUNNERS; i++) {
				all.add(candidate(Integer.toString(i), host.loads.getLoad(RunnerId.of(Integer.toString(i)))));
			}
			List<Candidate> fitting = host.memory.selectFitting(all, size, false);
			if (fitting.isEmpty()) {
				this.refusedForMemory++;
				return;
			}
			RequestConstraints constraints = new RequestConstraints(Duration.ofMillis(300), Duration.ofSeconds(5),
					true);
			if (host.placement.place(fitting, constraints) instanceof Placement.Send send) {
				this.served++;
				int runner = Integer.parseInt(send.runner().id().value());
				Running request = new Running(host, runner, size);
				host.memory.charge(send.runner(), size);
				host.loads.add(send.runner().id(), 1, 0);
				this.held[runner] += size;
				this.most = Math.max(this.most, this.held[runner]);
				this.running.get(runner).add(request);
				startNext(runner);
				host.report();
			}
		}

		private void startNext(int runner) {
			List<Running> requests = this.running.get(runner);
			requests.stream().limit(8).filter((r) -> !r.started).forEach((r) -> {
				r.started = true;
				this.events.add(new Event(this.now + 700 + this.random.nextInt(200), () -> end(r, true)));
			});
		}

		private void end(Running request, boolean complete) {
			if (this.running.get(request.runner).remove(request)) {
				this.held[request.runner] -= request.size;
				RunnerId id = RunnerId.of(Integer.toString(request.runner));
				request.host.memory.getTracker().remove(id, request.size, complete, this.now);
				request.host.loads.add(id, -1, 0);
				startNext(request.runner);
				if (complete) {
					request.host.report();
				}
			}
		}

		/**
		 * A request at a runner.
		 */
		private static final class Running {

			private final Host host;

			private final int runner;

			private final long size;

			private boolean started;

			private Running(Host host, int runner, long size) {
				this.host = host;
				this.runner = runner;
				this.size = size;
			}

		}

		private record Event(long at, Runnable action) {

		}

		/**
		 * A host with its view of the load.
		 */
		private final class Host {

			private final int index;

			private final LoadTracker loads = new LoadTracker();

			private final Map<Integer, Long> heard = new HashMap<>();

			private final KvMemoryPolicy memory;

			private final PlacementPolicy placement;

			private final Set<Long> scheduled = new HashSet<>();

			private long sequence;

			private Host(int index) {
				this.index = index;
				Duration lag = Duration.ofMillis(Replay.this.lagMillis);
				this.memory = new KvMemoryPolicy(new KvMemoryTracker(), (service) -> OptionalLong.of(CAPACITY),
						() -> lag, this::statuses);
				this.placement = new PlacementPolicy(new Random(index), () -> lag);
			}

			private List<KvMemoryPolicy.HostStatus> statuses() {
				return IntStream.range(0, HOSTS)
					.filter((i) -> i != this.index)
					.mapToObj((i) -> new KvMemoryPolicy.HostStatus(id(i),
							Replay.this.now - this.heard.getOrDefault(i, 0L) <= 300))
					.toList();
			}

			// Changes within the lag share a report, which 3 in 100 hosts do not receive.
			private void report() {
				long at = Replay.this.now + Replay.this.lagMillis;
				if (this.scheduled.isEmpty()) {
					this.scheduled.add(at);
					Replay.this.events.add(new Event(at, this::deliver));
				}
			}

			private void deliver() {
				this.scheduled.clear();
				if (isKilled(this.index)) {
					return;
				}
				Map<RunnerId, Integer> tokens = new HashMap<>();
				this.memory.getTracker().expire(Replay.this.now);
				this.memory.getTracker().getLocal().forEach((runner, count) -> tokens.put(runner, count.intValue()));
				this.sequence++;
				for (Host other : Replay.this.hosts) {
					if (other != this && areConnected(this.index, other.index)
							&& Replay.this.random.nextInt(100) >= 3) {
						other.heard.put(this.index, Replay.this.now);
						other.memory.getTracker()
							.applyReport(id(this.index), 1, this.sequence, tokens, Replay.this.now);
						other.loads.applyReport(id(this.index),
								new LoadTracker.Report(1, this.sequence, Replay.this.now, this.loads.getLocalLoads()));
					}
				}
			}

			private static HostId id(int index) {
				return HostId.of("host-" + index);
			}

		}

	}

}
