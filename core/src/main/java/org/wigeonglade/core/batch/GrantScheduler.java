package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.schema.generated.log.ItemOutcome;
import org.wigeonglade.schema.generated.log.OutcomeStatus;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkStatus;

/**
 * Scheduler of the items of an owned partition: selects the items to grant next and
 * derives from reports and expired leases the state changes to append to the log. Holds
 * only queues and leases; the replayed state changes when the appended records are read
 * back. Does no I/O. Confined to the executor of the partition.
 */
final class GrantScheduler {

	/**
	 * Time in milliseconds for which items wait for an isolated runner after a crash.
	 * Under steady online work there may never be one.
	 */
	private static final long MAX_ISOLATION_WAIT_MILLIS = 1_000;

	/**
	 * Factor on the maximum attempts before an item fails by an expired lease, which is
	 * more often caused by the loss of the dispatcher than by the item.
	 */
	private static final int LEASE_EXPIRIES_PER_ATTEMPT = 4;

	/** Codes of failures that a retry cannot change. */
	private static final Set<String> NON_RETRYABLE_CODES = Set.of(ErrorCode.UPSTREAM_REJECTED.getCode(),
			ErrorCode.QUARANTINED.getCode(), ErrorCode.REQUEST_INVALID.getCode(), ErrorCode.FORBIDDEN.getCode(),
			ErrorCode.TOO_LARGE.getCode(), ErrorCode.OFFSET_EXPIRED.getCode());

	private final int partition;

	private final long term;

	private final BatchPolicy policy;

	private final long leaseMillis;

	private final Map<String, FairItemQueue> queues = new HashMap<>();

	private final Map<String, JobQueue> jobs = new LinkedHashMap<>();

	private final Map<Long, Grant> grants = new LinkedHashMap<>();

	private final List<FairItemQueue.Item> inheritedIntents = new ArrayList<>();

	private long counter;

	GrantScheduler(int partition, PartitionState state, BatchPolicy policy, long leaseMillis) {
		this.partition = partition;
		this.term = state.getTerm();
		this.policy = policy;
		this.leaseMillis = leaseMillis;
		state.getJobs().stream().filter((job) -> !job.isFinished()).forEach(this::addJob);
	}

	void addJob(JobState job) {
		JobQueue queue = new JobQueue(job);
		this.jobs.put(job.getId(), queue);
		FairItemQueue serviceQueue = queueOf(job.getAccepted().getService());
		for (int i = 0; i < job.size(); i++) {
			if (job.getState(i) == ItemState.INTENDED) {
				queue.reserve(i);
				this.inheritedIntents.add(new FairItemQueue.Item(queue, i, 0));
			}
			else if (job.getState(i) == ItemState.PENDING && job.getCrashes(i) > 0) {
				serviceQueue.addSuspect(queue, i);
			}
		}
		serviceQueue.add(queue);
	}

	void removeJob(String batchId) {
		JobQueue queue = this.jobs.remove(batchId);
		if (queue != null) {
			queueOf(queue.getJob().getAccepted().getService()).remove(queue);
			this.grants.values().removeIf((grant) -> grant.getQueue() == queue);
		}
	}

	void finishItem(JobState job, int index) {
		JobQueue queue = this.jobs.get(job.getId());
		if (queue != null) {
			queue.finish(index);
			if (job.isFinished()) {
				removeJob(job.getId());
			}
		}
	}

	// Grants up to max items. An isolated runner gets a suspect, if there is one, and
	// nothing else. Suspects that have waited too long for one are granted like others.
	List<Grant> select(String service, int max, boolean isolated, long nowMillis, long nowWallMillis) {
		FairItemQueue queue = this.queues.get(service);
		List<Grant> selected = new ArrayList<>();
		if (queue == null) {
			return selected;
		}
		FairItemQueue.Item suspect = isolated ? queue.pollSuspect() : null;
		if (suspect != null) {
			selected.add(createGrant(suspect, true, nowMillis));
			return selected;
		}
		boolean suspectsOverdue = queue.getSuspectWaitMillis(nowMillis) >= MAX_ISOLATION_WAIT_MILLIS;
		while (selected.size() < max) {
			FairItemQueue.Item overdue = suspectsOverdue ? queue.pollSuspect() : null;
			FairItemQueue.Item item = (overdue != null) ? overdue : queue.poll(nowWallMillis);
			if (item == null) {
				break;
			}
			selected.add(createGrant(item, false, nowMillis));
		}
		return selected;
	}

	void withdraw(Grant grant) {
		if (this.grants.remove(grant.getId()) != null) {
			requeue(grant.getQueue(), grant.getIndex());
		}
	}

	// Renews the lease of a grant. Returns false if it is revoked: its run must stop.
	boolean renew(long grantId, long nowMillis) {
		Grant grant = this.grants.get(grantId);
		if (grant == null || !ItemState.isOpen(grant.getJob().getState(grant.getIndex()))) {
			this.grants.remove(grantId);
			return false;
		}
		grant.setLeaseEndMillis(nowMillis + this.leaseMillis);
		return true;
	}

	// Processes a report about an item and returns the state change to append. Without a
	// grant, only a result is accepted.
	StateChange report(WorkOutcome report) {
		JobQueue queue = this.jobs.get(report.getBatchId());
		Grant grant = this.grants.remove(report.getGrantId());
		if (queue == null || report.getIndex() < 0 || report.getIndex() >= queue.getJob().size()) {
			return StateChange.NONE;
		}
		int index = report.getIndex();
		boolean granted = grant != null && grant.getQueue() == queue && grant.getIndex() == index;
		if (!ItemState.isOpen(queue.getJob().getState(index)) || queue.isDecided(index)) {
			return StateChange.NONE;
		}
		if (!granted && report.getStatus() != WorkStatus.WORK_COMPLETED) {
			return StateChange.NONE;
		}
		String customId = granted ? grant.getCustomId() : "";
		boolean idempotent = queue.getJob().getAccepted().getIdempotent();
		return switch (report.getStatus()) {
			case WORK_COMPLETED -> complete(queue, grant, report, customId);
			case WORK_RETURNED -> {
				requeue(queue, index);
				yield StateChange.NONE;
			}
			case WORK_CRASHED -> idempotent ? handleCrash(queue, index)
					: finish(queue, index, outcome(report, OutcomeStatus.UNKNOWN, customId));
			case WORK_UNKNOWN -> idempotent ? retry(queue, index, report, customId)
					: finish(queue, index, outcome(report, OutcomeStatus.UNKNOWN, customId));
			default -> (idempotent && !NON_RETRYABLE_CODES.contains(report.getErrorCode()))
					? retry(queue, index, report, customId)
					: finish(queue, index, outcome(report, OutcomeStatus.FAILED, customId));
		};
	}

	// Ends grants with an expired lease. Their items are requeued or get an outcome.
	List<StateChange> expireLeases(long nowMillis) {
		List<StateChange> changes = new ArrayList<>();
		List<Grant> expired = this.grants.values()
			.stream()
			.filter((grant) -> grant.getLeaseEndMillis() <= nowMillis)
			.toList();
		for (Grant grant : expired) {
			this.grants.remove(grant.getId());
			JobQueue queue = grant.getQueue();
			if (queue.isDecided(grant.getIndex()) || !ItemState.isOpen(grant.getJob().getState(grant.getIndex()))) {
				continue;
			}
			ItemOutcome.Builder outcome = ItemOutcome.newBuilder()
				.setIndex(grant.getIndex())
				.setCustomId(grant.getCustomId())
				.setErrorCode(ErrorCode.DEADLINE_EXCEEDED.getCode())
				.setAttempts(queue.incrementAttempts(grant.getIndex()));
			if (!queue.getJob().getAccepted().getIdempotent()) {
				changes.add(finish(queue, grant.getIndex(),
						outcome.setStatus(OutcomeStatus.UNKNOWN)
							.setErrorMessage("the host that ran the item stopped reporting")
							.build()));
			}
			else if (outcome.getAttempts() >= LEASE_EXPIRIES_PER_ATTEMPT * maxAttempts(queue)) {
				changes.add(finish(queue, grant.getIndex(),
						outcome.setStatus(OutcomeStatus.FAILED)
							.setErrorMessage("all " + outcome.getAttempts() + " runs stopped reporting")
							.build()));
			}
			else {
				requeue(queue, grant.getIndex());
			}
		}
		return changes;
	}

	// Gives status UNKNOWN to the non-idempotent items that an earlier owner may have
	// dispatched and for which no report has arrived.
	List<StateChange> abandonInheritedIntents() {
		List<StateChange> changes = new ArrayList<>();
		for (FairItemQueue.Item item : this.inheritedIntents) {
			JobState job = item.queue().getJob();
			if (ItemState.isOpen(job.getState(item.index())) && !item.queue().isDecided(item.index())) {
				item.queue().markDecided(item.index());
				changes.add(new StateChange(job,
						ItemOutcome.newBuilder()
							.setIndex(item.index())
							.setStatus(OutcomeStatus.UNKNOWN)
							.setErrorCode(ErrorCode.UPSTREAM_FAILED.getCode())
							.setErrorMessage("the owner was lost after it recorded the intent to run the item")
							.build(),
						false));
			}
		}
		this.inheritedIntents.clear();
		return changes;
	}

	int countWaiting(String service) {
		return this.jobs.values()
			.stream()
			.filter((queue) -> queue.getJob().getAccepted().getService().equals(service))
			.mapToInt(JobQueue::countWaiting)
			.sum();
	}

	int countWaiting() {
		return this.jobs.values().stream().mapToInt(JobQueue::countWaiting).sum();
	}

	boolean hasWaiting(String service) {
		FairItemQueue queue = this.queues.get(service);
		return queue != null && !queue.isEmpty();
	}

	Set<String> servicesWithWaiting() {
		return Set.copyOf(this.queues.keySet().stream().filter(this::hasWaiting).toList());
	}

	int countGranted() {
		return this.grants.size();
	}

	private StateChange complete(JobQueue queue, Grant grant, WorkOutcome report, String customId) {
		if (grant != null) {
			queueOf(queue.getJob().getAccepted().getService()).adjustCharge(queue, grant.getChargedTokens(),
					report.getTokens());
		}
		return finish(queue, report.getIndex(),
				outcome(report, OutcomeStatus.COMPLETED, customId).toBuilder().setResult(report.getResult()).build());
	}

	// An item is never the cause of a crash, so it is owed however many upstreams were
	// lost.
	private StateChange handleCrash(JobQueue queue, int index) {
		queue.incrementCrashes(index);
		requeue(queue, index);
		return new StateChange(queue.getJob(), ItemOutcome.newBuilder().setIndex(index).build(), true);
	}

	private StateChange retry(JobQueue queue, int index, WorkOutcome report, String customId) {
		int attempts = queue.incrementAttempts(index);
		if (attempts >= maxAttempts(queue)) {
			return finish(queue, index, outcome(report, OutcomeStatus.FAILED, customId));
		}
		requeue(queue, index);
		return StateChange.NONE;
	}

	private StateChange finish(JobQueue queue, int index, ItemOutcome outcome) {
		queue.markDecided(index);
		return new StateChange(queue.getJob(), outcome, false);
	}

	private ItemOutcome outcome(WorkOutcome report, OutcomeStatus status, String customId) {
		JobQueue queue = this.jobs.get(report.getBatchId());
		return ItemOutcome.newBuilder()
			.setIndex(report.getIndex())
			.setStatus(status)
			.setCustomId(customId)
			.setErrorCode(report.getErrorCode())
			.setErrorMessage(report.getErrorMessage())
			.setAttempts(Math.max(1, queue.getAttempts(report.getIndex())))
			.setTokens(report.getTokens())
			.setUpstream(report.getUpstream())
			.setNotRun(report.getNotRun())
			.build();
	}

	private void requeue(JobQueue queue, int index) {
		if (queue.isDecided(index) || !ItemState.isOpen(queue.getJob().getState(index))) {
			return;
		}
		FairItemQueue serviceQueue = queueOf(queue.getJob().getAccepted().getService());
		if (queue.getCrashes(index) > 0) {
			queue.release(index);
			serviceQueue.addSuspect(queue, index);
		}
		else {
			queue.requeue(index);
			serviceQueue.add(queue);
		}
	}

	private Grant createGrant(FairItemQueue.Item item, boolean suspect, long nowMillis) {
		long id = GrantIds.idOf(this.partition, this.term, ++this.counter);
		Grant grant = new Grant(id, item.queue(), item.index(), suspect, item.chargedTokens());
		grant.setLeaseEndMillis(nowMillis + this.leaseMillis);
		this.grants.put(id, grant);
		return grant;
	}

	private int maxAttempts(JobQueue queue) {
		return this.policy.getMaxAttempts(queue.getJob().getAccepted().getService());
	}

	private FairItemQueue queueOf(String name) {
		return this.queues.computeIfAbsent(name, (key) -> new FairItemQueue(this.policy::getWeight));
	}

	/**
	 * State change of an item to append to the log.
	 *
	 * @param job the job, null for no change
	 * @param outcome the outcome; for a crash only its index is set
	 * @param crash whether to append a crash of an upstream instead of the outcome
	 */
	record StateChange(JobState job, ItemOutcome outcome, boolean crash) {

		static final StateChange NONE = new StateChange(null, null, false);

		boolean isNone() {
			return this.job == null;
		}

	}

}
