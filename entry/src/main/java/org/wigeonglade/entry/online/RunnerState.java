package org.wigeonglade.entry.online;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntSupplier;

import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.engine.LoadReport;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.route.CircuitBreaker;
import org.wigeonglade.core.route.ConcurrencyLimit;
import org.wigeonglade.core.route.Endpoint;

/**
 * Holds what this host knows of one incarnation of a runner. Thread-safe.
 */
public final class RunnerState {

	/**
	 * Count that a host announces for a runner which it keeps for one suspected request.
	 */
	static final int RESERVED = 1_000_000;

	/** Age from which the figures of another host count no more, in milliseconds. */
	private static final long OTHERS_VALID_MILLIS = 3500;

	private volatile UpstreamMember member;

	private final EngineClient onlineClient;

	private final EngineClient batchClient;

	private final AtomicInteger online = new AtomicInteger();

	private final AtomicInteger batch = new AtomicInteger();

	private final AtomicReference<ConcurrencyLimit> limit;

	private final AtomicReference<CircuitBreaker> breaker = new AtomicReference<>(CircuitBreaker.CLOSED);

	private final Map<HostId, Others> others = new ConcurrentHashMap<>();

	private volatile LoadReport report;

	private final IntSupplier digested;

	private volatile boolean reserved;

	private volatile boolean keptForBatch;

	private volatile HostId dispatcher;

	private volatile boolean dispatchedHere;

	private volatile HostId toldDispatcher;

	RunnerState(UpstreamMember member, EngineClient onlineClient, EngineClient batchClient, ConcurrencyLimit limit,
			IntSupplier digested) {
		this.member = member;
		this.onlineClient = onlineClient;
		this.batchClient = batchClient;
		this.digested = digested;
		this.limit = new AtomicReference<>(limit);
	}

	/**
	 * Returns the member entry.
	 * @return the latest entry of this incarnation
	 */
	public UpstreamMember getMember() {
		return this.member;
	}

	/**
	 * Returns the online requests of this host in flight on the runner.
	 * @return a count, at least 0
	 */
	public int getOnline() {
		return this.online.get();
	}

	/**
	 * Returns the batch items of this host in flight on the runner.
	 * @return a count, at least 0
	 */
	public int getBatch() {
		return this.batch.get();
	}

	/**
	 * Returns the learned limit of online requests in flight.
	 * @return a count, at least 1
	 */
	public int getLimit() {
		return this.limit.get().getLimit();
	}

	/**
	 * Returns whether the circuit breaker is open.
	 * @return true while the runner is taken as failed
	 */
	public boolean isBreakerOpen() {
		return this.breaker.get().isOpen();
	}

	/**
	 * Returns the last load report.
	 * @return the report, or null before the first one
	 */
	public LoadReport getReport() {
		return this.report;
	}

	/**
	 * Returns the online requests of other hosts in flight on the runner, as last known.
	 * The host that dispatches batch work to the runner is told each change; other hosts
	 * know only the last digests and reservations.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return a count, at least 0
	 */
	public int getOthersOnline(long nowMillis) {
		int announced = sumAnnounced(nowMillis);
		return this.dispatchedHere ? announced : Math.max(announced, this.digested.getAsInt());
	}

	/**
	 * Returns all online requests in flight on the runner, as announced to this host.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return a count, at least 0
	 */
	int getAnnouncedOnline(long nowMillis) {
		return (this.reserved ? RESERVED : this.online.get()) + sumAnnounced(nowMillis);
	}

	private int sumAnnounced(long nowMillis) {
		int sum = 0;
		for (Others entry : this.others.values()) {
			if (nowMillis - entry.seenMillis() <= OTHERS_VALID_MILLIS) {
				sum += entry.online();
			}
		}
		return sum;
	}

	/**
	 * Takes the figures of another host.
	 * @param host the host, not null
	 * @param count its online requests in flight on the runner
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void setOthersOnline(HostId host, int count, long nowMillis) {
		this.others.put(host, new Others(count, nowMillis));
	}

	Endpoint toEndpoint(long nowNanos) {
		int load = this.online.get() + getOthersOnline(nowNanos / 1_000_000L);
		return new Endpoint(this.member.id().value(), load, getLimit(),
				!this.reserved && !this.keptForBatch && this.breaker.get().allows(nowNanos));
	}

	// Returns the name with the incarnation, as crashes are recorded.
	String getCrashName() {
		return this.member.id().value() + "@" + this.member.incarnation();
	}

	int getAnnouncedCount() {
		return (this.reserved || this.keptForBatch) ? RESERVED : this.online.get();
	}

	EngineClient getOnlineClient() {
		return this.onlineClient;
	}

	EngineClient getBatchClient() {
		return this.batchClient;
	}

	void setMember(UpstreamMember member) {
		this.member = member;
	}

	void setDispatcher(HostId host, boolean here) {
		this.dispatcher = host;
		this.dispatchedHere = here;
	}

	HostId getDispatcher() {
		return this.dispatcher;
	}

	boolean isDispatchedHere() {
		return this.dispatchedHere;
	}

	// Returns whether the current dispatcher has got a count from this host.
	boolean isDispatcherTold() {
		return this.dispatcher.equals(this.toldDispatcher);
	}

	void setToldDispatcher(HostId host) {
		this.toldDispatcher = host;
	}

	boolean mayDispatch(long nowNanos) {
		return this.breaker.get().allows(nowNanos);
	}

	void setReserved(boolean reserved) {
		this.reserved = reserved;
	}

	void setKeptForBatch(boolean kept) {
		this.keptForBatch = kept;
	}

	void setReport(LoadReport report) {
		this.report = report;
		this.limit.updateAndGet((l) -> l.withReport(report));
	}

	void beginOnline() {
		this.online.incrementAndGet();
		this.breaker.updateAndGet(CircuitBreaker::plusRequest);
	}

	void endOnline() {
		this.online.decrementAndGet();
	}

	void beginBatch() {
		this.batch.incrementAndGet();
	}

	void endBatch() {
		this.batch.decrementAndGet();
	}

	void answered(double firstTokenRatio, double interTokenRatio, long nowNanos) {
		this.breaker.updateAndGet(CircuitBreaker::plusSuccess);
		int inFlight = this.online.get() + getOthersOnline(nowNanos / 1_000_000L);
		this.limit.updateAndGet((l) -> l.plusResponse(firstTokenRatio, interTokenRatio, inFlight, nowNanos));
	}

	void failed(boolean crashed, long nowNanos) {
		this.breaker.updateAndGet((b) -> b.plusFailure(crashed, nowNanos));
		if (crashed) {
			this.limit.set(ConcurrencyLimit.slowStart(nowNanos));
		}
	}

	void abandoned() {
		this.breaker.updateAndGet(CircuitBreaker::plusAbandoned);
	}

	private record Others(int online, long seenMillis) {
	}

}
