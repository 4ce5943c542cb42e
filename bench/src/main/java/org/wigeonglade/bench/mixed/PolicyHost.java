package org.wigeonglade.bench.mixed;

import java.util.function.Supplier;

import org.wigeonglade.bench.demo.FleetHost;
import org.wigeonglade.bench.demo.FleetHostStarter;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.entry.online.EndpointPolicy;

/**
 * One entry host with a given choice of runners.
 *
 * @param host the host
 */
record PolicyHost(EntryHost host) implements FleetHost {

	static FleetHostStarter starter(Supplier<EndpointPolicy> policy) {
		return (settings, configuration) -> {
			EntryHost host = EntryHost.builder(settings)
				.withInitialConfiguration(configuration)
				.withPolicy(policy.get())
				.build();
			host.start();
			return new PolicyHost(host);
		};
	}

	@Override
	public int callerPort() {
		return this.host.getCallerPort();
	}

	@Override
	public int operatorPort() {
		return this.host.getOperatorPort();
	}

	@Override
	public int peerPort() {
		return this.host.getPeerPort();
	}

	@Override
	public boolean isReady() {
		return this.host.isReady();
	}

	@Override
	public void pause(long millis) {
		throw new UnsupportedOperationException("hosts of this bench are not paused");
	}

	@Override
	public void stop() {
		this.host.stop();
	}

	@Override
	public void kill() {
		this.host.kill();
	}

}
