package org.wigeonglade.entry.host;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;

/**
 * One entry host: all parts of the daemon with their life cycle. Several hosts may run in
 * one JVM; they share no state.
 */
public final class EntryHost {

	private static final EventLogger LOG = EventLogger.of(EntryHost.class);

	/** Interval at which the end of requests in progress is awaited, in milliseconds. */
	private static final long DRAIN_POLL_MILLIS = 5;

	private final EntryHostBuilder builder;

	private final HostSettings settings;

	private final TimingSettings timing;

	private final AtomicReference<HostPhase> phase = new AtomicReference<>(HostPhase.NEW);

	private volatile HostAssembly assembly;

	EntryHost(EntryHostBuilder builder) {
		this.builder = builder;
		this.settings = builder.getSettings();
		this.timing = (this.settings.getTiming() != null) ? this.settings.getTiming() : new TimingSettings();
	}

	/**
	 * Starts the description of a host.
	 * @param settings the settings, not null
	 * @return a builder, never null
	 */
	public static EntryHostBuilder builder(HostSettings settings) {
		return new EntryHostBuilder(Objects.requireNonNull(settings, "settings"));
	}

	/**
	 * Starts all parts and waits until callers are served.
	 * @throws org.wigeonglade.core.error.PlatformException if a part cannot be started
	 */
	public void start() {
		if (!this.phase.compareAndSet(HostPhase.NEW, HostPhase.STARTED)) {
			throw new IllegalStateException("host was started before");
		}
		HostAssembly created = new HostAssembly(this.builder, this::isReady);
		this.assembly = created;
		try {
			created.start();
		}
		catch (RuntimeException ex) {
			kill();
			throw ex;
		}
		LOG.log(HostEvent.STARTED, this.settings.getHost(), getCallerPort(), getPeerPort(), getOperatorPort());
	}

	/**
	 * Stops as planned: fails readiness, takes no new work after the delay of the load
	 * balancer, hands batch work over, finishes the requests in progress within the drain
	 * limit and closes all parts. Returns at once when the host was stopped before.
	 * @return the number of requests that were interrupted by the drain limit
	 */
	public int stop() {
		if (!this.phase.compareAndSet(HostPhase.STARTED, HostPhase.STOPPING)) {
			return 0;
		}
		HostAssembly parts = this.assembly;
		LOG.log(HostEvent.STOPPING, this.settings.getHost(), parts.getInProgress());
		parts.announceStop();
		sleep(this.timing.getBalancerDelayMs());
		parts.stopAccepting();
		parts.stopDispatch();
		long limit = System.nanoTime() + Duration.ofMillis(this.timing.getDrainLimitMs()).toNanos();
		while (parts.getInProgress() > 0 && System.nanoTime() - limit < 0) {
			sleep(DRAIN_POLL_MILLIS);
		}
		int interrupted = parts.getInProgress();
		parts.stopBatch();
		this.phase.set(HostPhase.STOPPED);
		parts.close();
		LOG.log(HostEvent.STOPPED, this.settings.getHost(), interrupted);
		return interrupted;
	}

	/**
	 * Drops everything at once without any handover, as a lost host would.
	 */
	public void kill() {
		if (this.phase.getAndSet(HostPhase.STOPPED) == HostPhase.STOPPED) {
			return;
		}
		HostAssembly parts = this.assembly;
		if (parts != null) {
			int interrupted = parts.getInProgress();
			parts.kill();
			LOG.log(HostEvent.KILLED, this.settings.getHost(), interrupted);
		}
	}

	/**
	 * Returns whether the host takes new work.
	 * @return false before it knows the configuration and from the start of a planned
	 * stop
	 */
	public boolean isReady() {
		HostAssembly parts = this.assembly;
		return this.phase.get() == HostPhase.STARTED && parts != null && parts.isConfigured();
	}

	/**
	 * Returns the number of callers' requests in progress.
	 * @return a count, at least 0
	 */
	public int getInProgress() {
		HostAssembly parts = this.assembly;
		return (parts != null) ? parts.getInProgress() : 0;
	}

	/**
	 * Returns the name of the host.
	 * @return the name, never null
	 */
	public String getName() {
		return this.settings.getHost();
	}

	/**
	 * Returns the port of the callers' listener.
	 * @return a port, 0 before the start
	 */
	public int getCallerPort() {
		HostAssembly parts = this.assembly;
		return (parts != null) ? parts.getCallerPort() : 0;
	}

	/**
	 * Returns the port of the operators' listener.
	 * @return a port, 0 before the start
	 */
	public int getOperatorPort() {
		HostAssembly parts = this.assembly;
		return (parts != null) ? parts.getOperatorPort() : 0;
	}

	/**
	 * Returns the port of the listener for other hosts.
	 * @return a port, 0 before the start and on a host that stands alone
	 */
	public int getPeerPort() {
		HostAssembly parts = this.assembly;
		return (parts != null) ? parts.getPeerPort() : 0;
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
