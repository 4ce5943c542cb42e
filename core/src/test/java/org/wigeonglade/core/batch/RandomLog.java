package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.wigeonglade.schema.generated.log.KeyedIntent;
import org.wigeonglade.schema.generated.log.KeyedOutcome;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;
import org.wigeonglade.schema.generated.log.StateExpired;

/**
 * Generator of a log of two writers from a list of numbers, with valid, ignored and
 * duplicate records.
 */
final class RandomLog {

	private static final int ITEMS = 3;

	private final List<LogRecord> log = new ArrayList<>();

	private final PartitionState state = new PartitionState();

	private final Map<String, Long> sequences = new HashMap<>();

	private final boolean withDuplicates;

	private int jobs;

	RandomLog(List<Integer> choices, boolean withDuplicates) {
		this.withDuplicates = withDuplicates;
		choices.forEach(this::step);
	}

	List<LogRecord> getLog() {
		return this.log;
	}

	// The lowest bit of a choice selects the writer, the next four bits the kind of
	// record
	// and the others its arguments.
	private void step(int choice) {
		String host = ((choice & 1) == 0) ? "a" : "b";
		int arg = choice >> 5;
		long term = ((arg & 7) == 7) ? this.state.getTerm() - 1 : this.state.getTerm();
		String job = "j" + ((this.jobs > 0) ? arg % this.jobs : 0);
		int item = (arg >> 3) % ITEMS;
		switch ((choice >> 1) & 15) {
			case 0 -> append(host, Records.claim(host, this.state.getTerm() + (((arg & 3) == 3) ? 2 : 1)));
			case 1, 2, 3 -> appendJob(host, arg);
			case 4, 5, 6 -> append(host, Records.outcome(job, item, status(arg), term, false));
			case 7 -> append(host, Records.intent(job, item, term, (arg & 1) == 1));
			case 8 -> append(host, Records.cancel(job));
			case 9 -> append(host, Records.chunk(job, item, 1, true, term));
			case 10 -> append(host, Records.outcome(job, item, status(arg), term, true));
			case 11, 12 -> appendSnapshot(host);
			case 13 -> appendKeyedRequest(host, arg);
			case 14 -> append(host,
					LogEntry.newBuilder()
						.setStateExpired(StateExpired.newBuilder().setTerm(term).addBatchIds(job))
						.build());
			default -> repeatRecord(arg);
		}
	}

	private void appendJob(String host, int arg) {
		String job = "j" + this.jobs++;
		append(host, Records.chunk(job, 0, 2, false, 0));
		if ((arg & 15) != 15) {
			append(host, Records.chunk(job, 2, 1, false, 0));
		}
		if ((arg & 15) != 14) {
			append(host, Records.accept(job, ((arg & 1) == 0) ? "" : "k" + (arg >> 1) % 2, "d" + arg % 3, ITEMS));
		}
	}

	private void appendKeyedRequest(String host, int arg) {
		KeyedIntent intent = KeyedIntent.newBuilder()
			.setWorkspace("w")
			.setIdempotencyKey("r" + arg % 2)
			.setRequestId("q" + (arg >> 1) % 3)
			.build();
		append(host, LogEntry.newBuilder().setKeyedIntent(intent).build());
		if ((arg & 16) != 0) {
			append(host,
					LogEntry.newBuilder()
						.setKeyedOutcome(KeyedOutcome.newBuilder()
							.setWorkspace("w")
							.setIdempotencyKey(intent.getIdempotencyKey())
							.setRequestId("q" + (arg >> 3) % 3)
							.setStatus(((arg & 32) != 0) ? OutcomeStatus.COMPLETED : OutcomeStatus.CANCELLED))
						.build());
		}
	}

	private void appendSnapshot(String host) {
		List<LogEntry> entries = PartitionSnapshot.encode(this.state, host + this.log.size());
		int middle = entries.size() / 2;
		append(host, entries.subList(0, middle).toArray(LogEntry[]::new));
		append(host, entries.subList(middle, entries.size()).toArray(LogEntry[]::new));
	}

	private void repeatRecord(int arg) {
		if (this.withDuplicates && !this.log.isEmpty()) {
			add(this.log.get(arg % this.log.size()));
		}
	}

	private void append(String host, LogEntry... entries) {
		add(Records.of(host, this.sequences.merge(host, 1L, Long::sum), List.of(entries)));
	}

	private void add(LogRecord entry) {
		PartitionReplay.apply(this.state, this.log.size(), entry, ReplayObserver.NONE);
		this.log.add(entry);
	}

	private static OutcomeStatus status(int arg) {
		return switch ((arg >> 1) % 3) {
			case 0 -> OutcomeStatus.COMPLETED;
			case 1 -> OutcomeStatus.FAILED;
			default -> OutcomeStatus.UNKNOWN;
		};
	}

}
