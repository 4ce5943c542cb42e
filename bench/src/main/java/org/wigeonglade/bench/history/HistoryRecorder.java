package org.wigeonglade.bench.history;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

import org.wigeonglade.standins.engine.EngineRecorder;
import org.wigeonglade.standins.service.ServiceStandIn;

/**
 * Collects entries from concurrent clients. Thread-safe.
 */
public final class HistoryRecorder {

	private final Queue<HistoryEntry> entries = new ConcurrentLinkedQueue<>();

	private volatile Consumer<HistoryEntry> listener = (entry) -> {
	};

	/**
	 * Records an entry.
	 * @param entry the entry, not null
	 */
	public void record(HistoryEntry entry) {
		this.entries.add(entry);
		this.listener.accept(entry);
	}

	/**
	 * Sets a listener of coming entries, for faults at a step that only a client sees.
	 * @param value called on the client's thread, not null
	 */
	public void listen(Consumer<HistoryEntry> value) {
		this.listener = value;
	}

	/**
	 * Records everything that an engine counted.
	 * @param engine the name of the runner, not null
	 * @param ledger the ledger, not null
	 */
	public void recordLedger(String engine, EngineRecorder ledger) {
		ledger.entries()
			.forEach((entry) -> record(new HistoryEntry.EngineWork(engine, entry.kind().name(), entry.requestId(),
					entry.prompt(), entry.nanos())));
	}

	/**
	 * Records everything that a plain service counted.
	 * @param name the name of the upstream, not null
	 * @param service the service, not null
	 */
	public void recordRuns(String name, ServiceStandIn service) {
		service.calls()
			.forEach((call) -> record(new HistoryEntry.ServiceRun(name, call.idempotencyKey(), call.nanos())));
	}

	/**
	 * Returns the history so far.
	 * @param seed the seed of the run
	 * @return a history, never null
	 */
	public History toHistory(long seed) {
		return new History(seed, java.util.List.copyOf(this.entries));
	}

}
