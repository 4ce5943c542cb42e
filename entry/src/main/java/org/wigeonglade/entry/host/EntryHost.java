package org.wigeonglade.entry.host;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.caller.DrainPeriod;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;

/**
 * Entry host: owns the components of the daemon and their life cycle. Several hosts can
 * run in one JVM, since they share no state.
 */
public final class EntryHost {

	private static final EventLogger LOG = EventLogger.of(EntryHost.class);

	/** Polling interval while a planned stop waits for requests in progress. */
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
	 * Returns a builder of a host.
	 * @param settings the settings, not null
	 * @return a builder, never null
	 */
	public static EntryHostBuilder builder(HostSettings settings) {
		return new EntryHostBuilder(Objects.requireNonNull(settings, "settings"));
	}

	/**
	 * Starts all components and returns when the listeners are open. If a component fails
	 * to start, the others are closed and its exception is thrown.
	 * @throws IllegalStateException if the host was started before
	 * @throws org.wigeonglade.core.error.PlatformException if a service of the platform
	 * that is needed for the start fails
	 */
	public void start() {
		if (!this.phase.compareAndSet(HostPhase.NEW, HostPhase.STARTED)) {
			throw new IllegalStateException("the host has already been started");
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
	 * Performs a planned stop: reports not ready, rejects new requests after the delay of
	 * the load balancer, hands over batch work, waits up to the drain limit for requests
	 * in progress and closes all components. Returns immediately unless the host runs.
	 * @return the number of requests that were not complete when the drain limit expired
	 */
	public int stop() {
		if (!this.phase.compareAndSet(HostPhase.STARTED, HostPhase.STOPPING)) {
			return 0;
		}
		HostAssembly current = this.assembly;
		LOG.log(HostEvent.STOPPING, this.settings.getHost(), current.getInProgress());
		Ticker ticker = this.builder.getTicker();
		DrainPeriod period = DrainPeriod.of(ticker.nanos(), Duration.ofMillis(this.timing.getBalancerDelayMs()),
				Duration.ofMillis(this.timing.getDrainLimitMs()));
		current.announceStop(period);
		sleep(this.timing.getBalancerDelayMs());
		current.stopDispatch();
		while (current.getInProgress() > 0 && !period.isOver(ticker.nanos())) {
			sleep(DRAIN_POLL_MILLIS);
		}
		int interrupted = Math.max(current.getInterrupted(), current.getInProgress());
		current.stopBatch();
		this.phase.set(HostPhase.STOPPED);
		current.close();
		LOG.log(HostEvent.STOPPED, this.settings.getHost(), interrupted);
		return interrupted;
	}

	/**
	 * Terminates the host without a handover, as a crash would. Requests in progress are
	 * interrupted.
	 */
	public void kill() {
		if (this.phase.getAndSet(HostPhase.STOPPED) == HostPhase.STOPPED) {
			return;
		}
		HostAssembly current = this.assembly;
		if (current != null) {
			int interrupted = current.getInProgress();
			current.kill();
			LOG.log(HostEvent.KILLED, this.settings.getHost(), interrupted);
		}
	}

	/**
	 * Returns whether the host accepts new requests.
	 * @return false until the current configuration is determined and from the beginning
	 * of a planned stop
	 */
	public boolean isReady() {
		HostAssembly current = this.assembly;
		return this.phase.get() == HostPhase.STARTED && current != null && current.isConfigured();
	}

	/**
	 * Returns the number of caller requests in progress.
	 * @return a count, at least 0
	 */
	public int getInProgress() {
		HostAssembly current = this.assembly;
		return (current != null) ? current.getInProgress() : 0;
	}

	/**
	 * Returns the name of the host.
	 * @return the name, never null
	 */
	public String getName() {
		return this.settings.getHost();
	}

	/**
	 * Returns the port of the caller listener.
	 * @return a port, 0 before the start
	 */
	public int getCallerPort() {
		HostAssembly current = this.assembly;
		return (current != null) ? current.getCallerPort() : 0;
	}

	/**
	 * Returns the port of the operator listener.
	 * @return a port, 0 before the start and on a standalone host
	 */
	public int getOperatorPort() {
		HostAssembly current = this.assembly;
		return (current != null) ? current.getOperatorPort() : 0;
	}

	/**
	 * Returns the port of the peer listener.
	 * @return a port, 0 before the start and on a standalone host
	 */
	public int getPeerPort() {
		HostAssembly current = this.assembly;
		return (current != null) ? current.getPeerPort() : 0;
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
