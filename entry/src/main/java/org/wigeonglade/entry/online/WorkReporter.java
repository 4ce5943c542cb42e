package org.wigeonglade.entry.online;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkResult;

/**
 * Reports outcomes to the owners of batch work and renews the leases of held grants. An
 * outcome is reported again until it is acknowledged. Runs on one event loop.
 */
final class WorkReporter {

	private static final EventLogger LOG = EventLogger.of(WorkReporter.class);

	/** Largest number of outcomes in one report. */
	private static final int MAX_OUTCOMES_PER_REPORT = 256;

	/** Interval of lease renewals without outcomes, in milliseconds. */
	private static final long LEASE_RENEWAL_MILLIS = 500;

	/** Delay before unacknowledged outcomes are reported again, in milliseconds. */
	private static final long RESEND_MILLIS = 250;

	private final EventLoop loop;

	private final WorkSource source;

	private final Ticker ticker;

	private final Consumer<List<Long>> onRevoked;

	private final Map<Long, WorkOutcome> pending = new LinkedHashMap<>();

	private boolean reporting;

	private long nextRenewMillis;

	private long resendAtMillis;

	private int unsentCount;

	WorkReporter(EventLoop loop, WorkSource source, Ticker ticker, Consumer<List<Long>> onRevoked) {
		this.loop = loop;
		this.source = source;
		this.ticker = ticker;
		this.onRevoked = onRevoked;
	}

	int getPending() {
		return this.pending.size();
	}

	void add(WorkOutcome outcome) {
		this.pending.put(outcome.getGrantId(), outcome);
		this.unsentCount++;
	}

	// Sends the outcomes and lease renewals that are due; called every few
	// milliseconds.
	void flush(List<Long> heldGrants) {
		long now = this.ticker.millis();
		boolean renew = now >= this.nextRenewMillis && !heldGrants.isEmpty();
		boolean resend = !this.pending.isEmpty() && now >= this.resendAtMillis;
		if (this.reporting || !(this.unsentCount > 0 || renew || resend)) {
			return;
		}
		this.reporting = true;
		this.unsentCount = 0;
		this.nextRenewMillis = now + LEASE_RENEWAL_MILLIS;
		this.resendAtMillis = now + RESEND_MILLIS;
		List<WorkOutcome> outcomes = this.pending.values().stream().limit(MAX_OUTCOMES_PER_REPORT).toList();
		WorkResult result = WorkResult.newBuilder().addAllOutcomes(outcomes).addAllRunningGrants(heldGrants).build();
		this.source.report(result)
			.subscribe()
			.with((ack) -> this.loop.execute(() -> onAcknowledged(ack, outcomes.size())),
					(failure) -> this.loop.execute(() -> onFailure(failure)));
	}

	private void onAcknowledged(WorkAck ack, int sent) {
		this.reporting = false;
		ack.getAcceptedGrantsList().forEach(this.pending::remove);
		ack.getRevokedGrantsList().forEach(this.pending::remove);
		if (sent == MAX_OUTCOMES_PER_REPORT && !this.pending.isEmpty()) {
			this.unsentCount = this.pending.size();
		}
		if (ack.getRevokedGrantsCount() > 0) {
			this.onRevoked.accept(new ArrayList<>(ack.getRevokedGrantsList()));
		}
	}

	private void onFailure(Throwable failure) {
		this.reporting = false;
		LOG.log(OnlineEvent.WORK_EXCHANGE_FAILED, failure, "all");
	}

}
