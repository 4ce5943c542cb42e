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
 * State of one incarnation of a runner as known to this host. Thread-safe.
 */
public final class RunnerState {

	/**
	 * Count that a host announces for a runner that it has reserved for one suspected
	 * request; larger than any real count.
	 */
	static final int RESERVED_COUNT = 1_000_000;

	/** Age up to which the count of another host is valid, in milliseconds. */
	private static final long REMOTE_COUNT_VALID_MILLIS = 3500;

	private volatile UpstreamMember member;

	private final EngineClient onlineClient;

	private final EngineClient batchClient;

	private final AtomicInteger onlineInFlight = new AtomicInteger();

	private final AtomicInteger batchInFlight = new AtomicInteger();

	private final AtomicReference<ConcurrencyLimit> limit;

	private final AtomicReference<CircuitBreaker> breaker = new AtomicReference<>(CircuitBreaker.CLOSED);

	private final Map<HostId, RemoteCount> remoteCounts = new ConcurrentHashMap<>();

	private volatile LoadReport report;

	private final IntSupplier digestCount;

	private volatile boolean reservedForOnline;

	private volatile boolean reservedForBatch;

	private volatile HostId dispatcher;

	private volatile boolean dispatchedHere;

	private volatile HostId notifiedDispatcher;

	RunnerState(UpstreamMember member, EngineClient onlineClient, EngineClient batchClient, ConcurrencyLimit limit,
			IntSupplier digestCount) {
		this.member = member;
		this.onlineClient = onlineClient;
		this.batchClient = batchClient;
		this.digestCount = digestCount;
		this.limit = new AtomicReference<>(limit);
	}

	/**
	 * Returns the entry of the runner in the fleet view.
	 * @return the latest entry of this incarnation, never null
	 */
	public UpstreamMember getMember() {
		return this.member;
	}

	/**
	 * Returns the number of online requests that this host has in flight on the runner.
	 * @return a count, at least 0
	 */
	public int getOnlineInFlight() {
		return this.onlineInFlight.get();
	}

	/**
	 * Returns the number of batch items that this host has in flight on the runner.
	 * @return a count, at least 0
	 */
	public int getBatchInFlight() {
		return this.batchInFlight.get();
	}

	/**
	 * Returns the adaptive limit of online requests in flight.
	 * @return a count, at least 1
	 */
	public int getLimit() {
		return this.limit.get().getLimit();
	}

	/**
	 * Returns whether the circuit breaker is open.
	 * @return true while the runner is considered failed
	 */
	public boolean isBreakerOpen() {
		return this.breaker.get().isOpen();
	}

	/**
	 * Returns the last load report of the runner.
	 * @return the report, or null before the first one
	 */
	public LoadReport getReport() {
		return this.report;
	}

	/**
	 * Returns the number of online requests that other hosts have in flight on the
	 * runner, as last received. The host that dispatches batch work to the runner is
	 * notified of each change; other hosts receive only digests and reservations.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return a count, at least 0
	 */
	public int getRemoteOnlineInFlight(long nowMillis) {
		int announced = sumRemoteCounts(nowMillis);
		return this.dispatchedHere ? announced : Math.max(announced, this.digestCount.getAsInt());
	}

	/**
	 * Returns the number of online requests of all hosts in flight on the runner, as
	 * announced to this host.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return a count, at least 0
	 */
	int getTotalOnlineInFlight(long nowMillis) {
		return (this.reservedForOnline ? RESERVED_COUNT : this.onlineInFlight.get()) + sumRemoteCounts(nowMillis);
	}

	private int sumRemoteCounts(long nowMillis) {
		int sum = 0;
		for (RemoteCount entry : this.remoteCounts.values()) {
			if (nowMillis - entry.receivedMillis() <= REMOTE_COUNT_VALID_MILLIS) {
				sum += entry.online();
			}
		}
		return sum;
	}

	/**
	 * Sets the count that another host announced.
	 * @param host the host, not null
	 * @param count the number of its online requests in flight on the runner
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void setRemoteOnlineInFlight(HostId host, int count, long nowMillis) {
		this.remoteCounts.put(host, new RemoteCount(count, nowMillis));
	}

	Endpoint toEndpoint(long nowNanos) {
		int load = this.onlineInFlight.get() + getRemoteOnlineInFlight(nowNanos / 1_000_000L);
		return new Endpoint(this.member.id().value(), load, getLimit(),
				!this.reservedForOnline && !this.reservedForBatch && this.breaker.get().allows(nowNanos));
	}

	// Returns the name with the incarnation, by which crashes are recorded.
	String getIncarnationName() {
		return this.member.id().value() + "@" + this.member.incarnation();
	}

	int getCountToAnnounce() {
		return (this.reservedForOnline || this.reservedForBatch) ? RESERVED_COUNT : this.onlineInFlight.get();
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

	// Returns whether this host has sent a count to the current dispatcher.
	boolean isDispatcherNotified() {
		return this.dispatcher.equals(this.notifiedDispatcher);
	}

	void setNotifiedDispatcher(HostId host) {
		this.notifiedDispatcher = host;
	}

	boolean breakerAllows(long nowNanos) {
		return this.breaker.get().allows(nowNanos);
	}

	void setReservedForOnline(boolean reserved) {
		this.reservedForOnline = reserved;
	}

	void setReservedForBatch(boolean reserved) {
		this.reservedForBatch = reserved;
	}

	void setReport(LoadReport report) {
		this.report = report;
		this.limit.updateAndGet((l) -> l.withReport(report));
	}

	void beginOnline() {
		this.onlineInFlight.incrementAndGet();
		this.breaker.updateAndGet(CircuitBreaker::plusRequest);
	}

	void endOnline() {
		this.onlineInFlight.decrementAndGet();
	}

	void beginBatch() {
		this.batchInFlight.incrementAndGet();
	}

	void endBatch() {
		this.batchInFlight.decrementAndGet();
	}

	void recordSuccess(double firstTokenRatio, double interTokenRatio, long nowNanos) {
		this.breaker.updateAndGet(CircuitBreaker::plusSuccess);
		int inFlight = this.onlineInFlight.get() + getRemoteOnlineInFlight(nowNanos / 1_000_000L);
		this.limit.updateAndGet((l) -> l.plusResponse(firstTokenRatio, interTokenRatio, inFlight, nowNanos));
	}

	void recordFailure(boolean connectionLost, long nowNanos) {
		this.breaker.updateAndGet((b) -> b.plusFailure(connectionLost, nowNanos));
		if (connectionLost) {
			this.limit.set(ConcurrencyLimit.slowStart(nowNanos));
		}
	}

	void recordAbandoned() {
		this.breaker.updateAndGet(CircuitBreaker::plusAbandoned);
	}

	private record RemoteCount(int online, long receivedMillis) {
	}

}
