package org.wigeonglade.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.member.UpstreamMember;

/**
 * Chooses an upstream on every host every few milliseconds, as requests would, and keeps
 * when a leaving one was chosen and which requests it would cut.
 */
final class LeavingProbe {

	private static final ServiceName SERVICE = ServiceName.of("runokieli");

	private static final long PERIOD_MILLIS = 5;

	/** The upstream goes away after the bound of new work and the longest request. */
	private static final long LONGEST_REQUEST_MILLIS = 2000;

	private final List<FleetHost> hosts;

	private final String leaving;

	private final Random random = new Random(20_260_104L);

	private final List<Long> endsMillis = new ArrayList<>();

	private double lastWorkMillis;

	LeavingProbe(List<FleetHost> hosts, String leaving) {
		this.hosts = hosts;
		this.leaving = leaving;
	}

	void run(Runnable notice) throws InterruptedException {
		notice.run();
		long start = System.nanoTime();
		long end = start + TimeUnit.MILLISECONDS.toNanos((long) FleetPoint.MAX_LEAVING_MS);
		while (System.nanoTime() < end) {
			for (FleetHost host : this.hosts) {
				List<UpstreamMember> usable = host.getControl().getFleetViewSource().current().getUsable(SERVICE);
				if (!usable.isEmpty() && choose(usable).id().value().equals(this.leaving)) {
					this.lastWorkMillis = (System.nanoTime() - start) / 1e6;
					this.endsMillis
						.add((long) this.lastWorkMillis + 1 + this.random.nextInt((int) LONGEST_REQUEST_MILLIS));
				}
			}
			TimeUnit.MILLISECONDS.sleep(PERIOD_MILLIS);
		}
	}

	double getLastWorkMillis() {
		return this.lastWorkMillis;
	}

	int getCutRequests() {
		long gone = (long) FleetPoint.MAX_LEAVING_MS + LONGEST_REQUEST_MILLIS;
		return (int) this.endsMillis.stream().filter((e) -> e > gone).count();
	}

	private UpstreamMember choose(List<UpstreamMember> usable) {
		return usable.get(this.random.nextInt(usable.size()));
	}

}
