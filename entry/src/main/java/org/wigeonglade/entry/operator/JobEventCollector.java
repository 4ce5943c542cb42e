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
 * Replay observer that converts the records of a partition stream into account events. It
 * uses the same replay as the owner of the partition, so records without effect produce
 * no events. The completed items of a job are summarized in one event; every other
 * finished item has an event of its own.
 */
final class JobEventCollector implements ReplayObserver {

	private static final int MAX_EVENTS = 2000;

	private final AccountQuery query;

	private final String stream;

	private final List<AccountRecord> events = new ArrayList<>();

	private PartitionReader reader;

	private long offset;

	private LogRecord record = LogRecord.getDefaultInstance();

	private int sequence;

	private long oldestWallMillis;

	private boolean truncated;

	private JobEventCollector(AccountQuery query, int partition) {
		this.query = query;
		this.stream = "jobs-" + partition;
	}

	/**
	 * Returns the partition that holds the subject of a query.
	 * @param query the query, not null
	 * @return the partition, empty if no partition stores the subject or its id is
	 * invalid
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

	static JobEventCollector create(AccountQuery query, int partition) {
		JobEventCollector events = new JobEventCollector(query, partition);
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

	boolean isTruncated() {
		return this.truncated;
	}

	long getOldestWallMillis() {
		return this.oldestWallMillis;
	}

	List<AccountRecord> getEvents() {
		return this.events;
	}

	void replay(LogSlice slice) {
		this.reader.offer(slice);
	}

	@Override
	public void recordSeen(long recordOffset, LogRecord newRecord) {
		this.offset = recordOffset;
		this.record = newRecord;
		this.sequence = 0;
		if (this.reader.isHistoryLost() && this.oldestWallMillis == 0) {
			this.oldestWallMillis = newRecord.getWallTimeMs();
		}
	}

	@Override
	public void ownerChanged() {
		boolean released = this.reader.getState().isReleased();
		addIfMatching(newEvent((released) ? AccountCode.HANDED_OVER : AccountCode.TAKEN_OVER, "partition",
				this.stream.substring("jobs-".length()))
			.putFigures("term", Long.toString(this.reader.getState().getTerm()))
			.putFigures("owner", this.reader.getState().getOwnerHost()));
	}

	@Override
	public void jobAccepted(JobState job) {
		addIfMatching(newEvent(AccountCode.ACCEPTED, "batch", job.getId())
			.putFigures("workspace", job.getAccepted().getWorkspace())
			.putFigures("service", job.getAccepted().getService())
			.putFigures("items", Integer.toString(job.size())));
	}

	@Override
	public void jobCancelled(JobState job) {
		addIfMatching(newEvent(AccountCode.CANCELLED, "batch", job.getId()).putFigures("cancelled_items",
				Integer.toString(job.count(ItemState.CANCELLED))));
	}

	@Override
	public void itemFinished(JobState job, int index) {
		int state = job.getState(index);
		String id = job.getId() + "/" + index;
		if (state != ItemState.COMPLETED || this.query.subjectId().equals(id)) {
			AccountRecord.Builder event = newEvent(codeOf(state), "item", id);
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
			addIfMatching(event.putFigures("attempts", Integer.toString(outcome.getAttempts()))
				.putFigures("tokens", Long.toString(outcome.getTokens())));
		}
		if (job.countOpen() == 0 && !job.isCancelled()) {
			addIfMatching(newEvent(AccountCode.COMPLETED, "batch", job.getId()).putFigures("outcomes",
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

	private AccountRecord.Builder newEvent(AccountCode code, String kind, String id) {
		return AccountRecord.newBuilder()
			.setEventId("log:" + this.stream + "/" + this.offset + ":" + ++this.sequence)
			.setCode(code.getNumber())
			.setWallTimeMs(this.record.getWallTimeMs())
			.setHost(this.record.getHost())
			.setSubjectKind(kind)
			.setSubjectId(id);
	}

	// For an item, the events of its job are included except for the completion of the
	// job, because the history of an item begins with the acceptance of the job.
	private void addIfMatching(AccountRecord.Builder builder) {
		AccountRecord event = builder.build();
		boolean isEventOfJob = this.query.subjectKind().equals("item") && event.getSubjectKind().equals("batch")
				&& event.getCode() != AccountCode.COMPLETED.getNumber()
				&& this.query.subjectId().startsWith(event.getSubjectId() + "/");
		if (!isEventOfJob && !this.query.matches(event)) {
			return;
		}
		if (this.events.size() >= MAX_EVENTS) {
			this.truncated = true;
			return;
		}
		this.events.add(event);
	}

}
