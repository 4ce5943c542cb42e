package org.wigeonglade.entry.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;

import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountQuery;
import org.wigeonglade.core.batch.ItemState;
import org.wigeonglade.core.batch.JobState;
import org.wigeonglade.core.batch.PartitionReader;
import org.wigeonglade.core.batch.ReplayObserver;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.schema.generated.log.AccountRecord;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Turns the records of a partition stream into events. The records are judged by the same
 * replay as everywhere else, so only those that took effect are told. Completed items of
 * a job are counted in one event, all others get their own.
 */
final class JobEvents implements ReplayObserver {

	private static final int MAX_EVENTS = 2000;

	private final AccountQuery query;

	private final String stream;

	private final List<AccountRecord> events = new ArrayList<>();

	private PartitionReader reader;

	private long offset;

	private LogRecord record = LogRecord.getDefaultInstance();

	private int sequence;

	private long oldestWallMillis;

	private boolean cut;

	private JobEvents(AccountQuery query, int partition) {
		this.query = query;
		this.stream = "jobs-" + partition;
	}

	/**
	 * Returns the partition that holds the subject of a query.
	 * @param query the query, not null
	 * @return the partition, empty if the subject is not kept in one
	 */
	static OptionalInt partitionOf(AccountQuery query) {
		try {
			return switch (query.subjectKind()) {
				case "batch" -> OptionalInt.of(BatchId.parse(query.subjectId()).partition());
				case "item" -> OptionalInt.of(BatchId.parse(query.subjectId().split("/", 2)[0]).partition());
				case "partition" -> OptionalInt.of(Integer.parseInt(query.subjectId()));
				default -> OptionalInt.empty();
			};
		}
		catch (InvalidRequestException | NumberFormatException ex) {
			return OptionalInt.empty();
		}
	}

	static JobEvents create(AccountQuery query, int partition) {
		JobEvents events = new JobEvents(query, partition);
		events.reader = new PartitionReader(0, events);
		return events;
	}

	String getStream() {
		return this.stream;
	}

	long getNextOffset() {
		return this.reader.getNextOffset();
	}

	boolean isCurrent() {
		return this.reader.isCurrent();
	}

	boolean isCut() {
		return this.cut;
	}

	long getOldestWallMillis() {
		return this.oldestWallMillis;
	}

	List<AccountRecord> getEvents() {
		return this.events;
	}

	void offer(LogSlice slice) {
		this.reader.offer(slice);
	}

	@Override
	public void recordSeen(long at, LogRecord seen) {
		this.offset = at;
		this.record = seen;
		this.sequence = 0;
		if (this.reader.isHistoryLost() && this.oldestWallMillis == 0) {
			this.oldestWallMillis = seen.getWallTimeMs();
		}
	}

	@Override
	public void ownerChanged() {
		boolean released = this.reader.getState().isReleased();
		add(event((released) ? AccountCode.HANDED_OVER : AccountCode.TAKEN_OVER, "partition",
				this.stream.substring("jobs-".length()))
			.putFigures("term", Long.toString(this.reader.getState().getTerm()))
			.putFigures("owner", this.reader.getState().getOwnerHost()));
	}

	@Override
	public void jobAccepted(JobState job) {
		add(event(AccountCode.ACCEPTED, "batch", job.getId()).putFigures("workspace", job.getAccepted().getWorkspace())
			.putFigures("service", job.getAccepted().getService())
			.putFigures("items", Integer.toString(job.size())));
	}

	@Override
	public void jobCancelled(JobState job) {
		add(event(AccountCode.CANCELLED, "batch", job.getId()).putFigures("cancelled_items",
				Integer.toString(job.count(ItemState.CANCELLED))));
	}

	@Override
	public void itemFinished(JobState job, int index) {
		int state = job.getState(index);
		String id = job.getId() + "/" + index;
		if (state != ItemState.COMPLETED || this.query.subjectId().equals(id)) {
			AccountRecord.Builder event = event(codeOf(state), "item", id);
			ItemOutcome outcome = findOutcome(job.getId(), index);
			if (!outcome.getErrorCode().isEmpty()) {
				event.putFigures("code", outcome.getErrorCode());
			}
			if (!outcome.getErrorMessage().isEmpty()) {
				event.putFigures("reason", outcome.getErrorMessage());
			}
			if (!outcome.getUpstream().isEmpty()) {
				event.putFigures("upstream", outcome.getUpstream());
			}
			add(event.putFigures("attempts", Integer.toString(outcome.getAttempts()))
				.putFigures("tokens", Long.toString(outcome.getTokens())));
		}
		if (job.countOpen() == 0 && !job.isCancelled()) {
			add(event(AccountCode.COMPLETED, "batch", job.getId()).putFigures("outcomes",
					job.count(ItemState.COMPLETED) + " completed, " + job.count(ItemState.FAILED) + " failed, "
							+ job.count(ItemState.UNKNOWN) + " unknown"));
		}
	}

	private static AccountCode codeOf(int state) {
		return switch (state) {
			case ItemState.COMPLETED -> AccountCode.COMPLETED;
			case ItemState.CANCELLED -> AccountCode.CANCELLED;
			case ItemState.UNKNOWN -> AccountCode.OUTCOME_UNKNOWN;
			default -> AccountCode.FAILED;
		};
	}

	private ItemOutcome findOutcome(String job, int index) {
		for (LogEntry entry : this.record.getEntriesList()) {
			if (entry.hasItemOutcomes() && entry.getItemOutcomes().getBatchId().equals(job)) {
				for (ItemOutcome outcome : entry.getItemOutcomes().getOutcomesList()) {
					if (outcome.getIndex() == index) {
						return outcome;
					}
				}
			}
		}
		return ItemOutcome.getDefaultInstance();
	}

	private AccountRecord.Builder event(AccountCode code, String kind, String id) {
		return AccountRecord.newBuilder()
			.setEventId("log:" + this.stream + "/" + this.offset + ":" + ++this.sequence)
			.setCode(code.getNumber())
			.setWallTimeMs(this.record.getWallTimeMs())
			.setHost(this.record.getHost())
			.setSubjectKind(kind)
			.setSubjectId(id);
	}

	// The acceptance of the job is the beginning of each of its items.
	private void add(AccountRecord.Builder builder) {
		AccountRecord event = builder.build();
		boolean ofJob = this.query.subjectKind().equals("item") && event.getSubjectKind().equals("batch")
				&& event.getCode() != AccountCode.COMPLETED.getNumber()
				&& this.query.subjectId().startsWith(event.getSubjectId() + "/");
		if (!ofJob && !this.query.matches(event)) {
			return;
		}
		if (this.events.size() >= MAX_EVENTS) {
			this.cut = true;
			return;
		}
		this.events.add(event);
	}

}
