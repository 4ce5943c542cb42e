package org.wigeonglade.entry.host;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.wigeonglade.core.account.AccountRing;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.caller.CallerParts;
import org.wigeonglade.entry.caller.CallerServer;
import org.wigeonglade.entry.online.EventLoop;
import org.wigeonglade.entry.online.OnlineRuntime;
import org.wigeonglade.entry.online.OnlineRuntimeBuilder;
import org.wigeonglade.entry.operator.HopTracer;
import org.wigeonglade.entry.operator.HostMetrics;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;

/**
 * One entry host: all parts of the daemon with their life cycle. Several hosts may run in
 * one JVM; they share no state.
 */
public final class EntryHost {

	private static final EventLogger LOG = EventLogger.of(EntryHost.class);

	private static final Duration START_LIMIT = Duration.ofSeconds(30);

	private final HostSettings settings;

	private final TimingSettings timing;

	private final Ticker ticker;

	private final Vertx vertx;

	private final EventLoop loop;

	private final HostMetrics metrics = HostMetrics.create();

	private final HopTracer tracer;

	private final AccountRing account;

	private final OnlineRuntime online;

	private final CallerServer callers;

	private final ListedFleetView listed;

	private final AtomicReference<HostPhase> phase = new AtomicReference<>(HostPhase.NEW);

	EntryHost(EntryHostBuilder builder) {
		this.settings = builder.getSettings();
		this.timing = (this.settings.getTiming() != null) ? this.settings.getTiming() : new TimingSettings();
		this.ticker = builder.getTicker();
		this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(builder.getEventLoops())
			.setWorkerPoolSize(2)
			.setInternalBlockingPoolSize(2));
		this.listed = (builder.getFleet() == null)
				? new ListedFleetView(this.settings.getHost(), builder.directory(this.vertx), this.ticker) : null;
		FleetViewSource fleet = (this.listed != null) ? this.listed : builder.getFleet();
		ConfigurationSource configuration = builder::getInitialConfiguration;
		long incarnation = this.ticker.wallMillis();
		this.tracer = HopTracer.create(this.settings);
		this.account = AccountRing.create(HostId.of(this.settings.getHost()), incarnation, this.ticker,
				AccountRing.DEFAULT_CAPACITY);
		this.loop = await(EventLoop.create(this.vertx));
		this.online = new OnlineRuntimeBuilder(this.loop, HostId.of(this.settings.getHost()))
			.withPlace(FailureDomain.of(this.settings.getFailureDomain()), Region.of(this.settings.getRegion()))
			.withTicker(this.ticker)
			.withFleet(fleet)
			.withClients(builder.clients(this.vertx))
			.build();
		this.callers = new CallerServer(this.vertx, new CallerParts(this.settings, this.ticker, configuration,
				this.online, null, this.metrics, this.account, this.tracer));
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
	 * @throws PlatformException if a listener cannot be opened
	 */
	public void start() {
		if (!this.phase.compareAndSet(HostPhase.NEW, HostPhase.STARTED)) {
			throw new IllegalStateException("host was started before");
		}
		if (this.listed != null) {
			this.listed.poll();
			this.vertx.setPeriodic(this.timing.getHostListPollMs(), (id) -> this.listed.poll());
		}
		this.online.start();
		Promise<Void> opened = Promise.promise();
		this.loop.execute(() -> this.callers.start().onComplete(opened));
		await(opened.future());
		LOG.log(HostEvent.STARTED, this.settings.getHost(), getCallerPort(), 0, 0);
	}

	/**
	 * Stops as planned: takes no new work, finishes the requests in progress within the
	 * drain limit and closes all parts. Returns at once when the host was stopped before.
	 * @return the number of requests that were interrupted by the drain limit
	 */
	public int stop() {
		if (!this.phase.compareAndSet(HostPhase.STARTED, HostPhase.STOPPING)) {
			return 0;
		}
		LOG.log(HostEvent.STOPPING, this.settings.getHost(), this.callers.getInProgress());
		sleep(this.timing.getBalancerDelayMs());
		this.callers.stopAccepting();
		long limit = this.ticker.millis() + this.timing.getDrainLimitMs();
		while (this.callers.getInProgress() > 0 && this.ticker.millis() < limit) {
			sleep(5);
		}
		int interrupted = this.callers.getInProgress();
		close();
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
		int interrupted = this.callers.getInProgress();
		close();
		LOG.log(HostEvent.KILLED, this.settings.getHost(), interrupted);
	}

	/**
	 * Returns the port of the callers' listener.
	 * @return a port, 0 before the start
	 */
	public int getCallerPort() {
		return this.callers.getPort();
	}

	private void close() {
		this.phase.set(HostPhase.STOPPED);
		await(this.vertx.close());
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static <T> T await(Future<T> future) {
		try {
			return future.toCompletionStage().toCompletableFuture().get(START_LIMIT.toSeconds(), TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "interrupted", ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "a part of the host failed", ex);
		}
	}

}
