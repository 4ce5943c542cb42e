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
 * Decides which items of an owned partition run next and what a report means. Holds what
 * is lent and what waits; the durable state is changed by log records only. Pure and
 * confined to the lane of the partition.
 */
final class WorkLedger {

	private static final int MAX_CRASHES = 2;

	/**
	 * A lost dispatcher says little about the item, so that lapses have their own bound.
	 */
	private static final int LAPSES_PER_ATTEMPT = 4;

	/** Failures that another try cannot change. */
	private static final Set<String> FINAL_CODES = Set.of(ErrorCode.UPSTREAM_REJECTED.getCode(),
			ErrorCode.QUARANTINED.getCode(), ErrorCode.REQUEST_INVALID.getCode(), ErrorCode.FORBIDDEN.getCode(),
			ErrorCode.TOO_LARGE.getCode(), ErrorCode.OFFSET_EXPIRED.getCode());

	private final int partition;

	private final long term;

	private final BatchPolicy policy;

	private final long leaseMillis;

	private final Map<String, FairQueue> services = new HashMap<>();

	private final Map<String, JobQueue> jobs = new LinkedHashMap<>();

	private final Map<Long, Grant> grants = new LinkedHashMap<>();

	private final List<FairQueue.Item> inherited = new ArrayList<>();

	private long counter;

	WorkLedger(int partition, PartitionState state, BatchPolicy policy, long leaseMillis) {
		this.partition = partition;
		this.term = state.getTerm();
		this.policy = policy;
		this.leaseMillis = leaseMillis;
		state.getJobs().stream().filter((job) -> !job.isFinished()).forEach(this::addJob);
	}

	void addJob(JobState job) {
		JobQueue queue = new JobQueue(job);
		this.jobs.put(job.getId(), queue);
		FairQueue service = service(job.getAccepted().getService());
		for (int i = 0; i < job.size(); i++) {
			if (job.getState(i) == ItemState.INTENDED) {
				queue.take(i);
				this.inherited.add(new FairQueue.Item(queue, i, 0));
			}
			else if (job.getState(i) == ItemState.PENDING && job.getCrashes(i) > 0) {
				service.addSuspect(queue, i);
			}
		}
		service.add(queue);
	}

	void removeJob(String batchId) {
		JobQueue queue = this.jobs.remove(batchId);
		if (queue != null) {
			service(queue.getJob().getAccepted().getService()).remove(queue);
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

	// Lends items. An isolated runner gets one suspect alone if there is one.
	List<Grant> select(String service, int max, boolean isolated, long nowMillis, long nowWallMillis) {
		FairQueue queue = this.services.get(service);
		List<Grant> selected = new ArrayList<>();
		if (queue == null) {
			return selected;
		}
		FairQueue.Item suspect = isolated ? queue.pollSuspect() : null;
		if (suspect != null) {
			selected.add(lend(suspect, true, nowMillis));
			return selected;
		}
		while (selected.size() < max) {
			FairQueue.Item item = queue.poll(nowWallMillis);
			if (item == null) {
				break;
			}
			selected.add(lend(item, false, nowMillis));
		}
		return selected;
	}

	void putBack(Grant grant) {
		if (this.grants.remove(grant.getId()) != null) {
			requeue(grant.getQueue(), grant.getIndex());
		}
	}

	// Renews the lease of a grant. Returns false if its run must stop.
	boolean renew(long grantId, long nowMillis) {
		Grant grant = this.grants.get(grantId);
		if (grant == null || !ItemState.isOpen(grant.getJob().getState(grant.getIndex()))) {
			this.grants.remove(grantId);
			return false;
		}
		grant.setLeaseEndMillis(nowMillis + this.leaseMillis);
		return true;
	}

	// Judges a report about an item.
	Verdict report(WorkOutcome report) {
		JobQueue queue = this.jobs.get(report.getBatchId());
		Grant grant = this.grants.remove(report.getGrantId());
		if (queue == null || report.getIndex() < 0 || report.getIndex() >= queue.getJob().size()) {
			return Verdict.NOTHING;
		}
		int index = report.getIndex();
		boolean held = grant != null && grant.getQueue() == queue && grant.getIndex() == index;
		if (!ItemState.isOpen(queue.getJob().getState(index)) || queue.isSettled(index)) {
			return Verdict.NOTHING;
		}
		if (!held && report.getStatus() != WorkStatus.WORK_COMPLETED) {
			return Verdict.NOTHING;
		}
		String customId = held ? grant.getCustomId() : "";
		boolean idempotent = queue.getJob().getAccepted().getIdempotent();
		return switch (report.getStatus()) {
			case WORK_COMPLETED -> complete(queue, grant, report, customId);
			case WORK_RETURNED -> {
				requeue(queue, index);
				yield Verdict.NOTHING;
			}
			case WORK_CRASHED -> idempotent ? crash(queue, index, report, customId)
					: finish(queue, index, outcome(report, OutcomeStatus.UNKNOWN, customId));
			case WORK_UNKNOWN -> idempotent ? retry(queue, index, report, customId)
					: finish(queue, index, outcome(report, OutcomeStatus.UNKNOWN, customId));
			default ->
				(idempotent && !FINAL_CODES.contains(report.getErrorCode())) ? retry(queue, index, report, customId)
						: finish(queue, index, outcome(report, OutcomeStatus.FAILED, customId));
		};
	}

	// Takes back the items whose lease lapsed.
	List<Verdict> lapse(long nowMillis) {
		List<Verdict> verdicts = new ArrayList<>();
		List<Grant> lapsed = this.grants.values()
			.stream()
			.filter((grant) -> grant.getLeaseEndMillis() <= nowMillis)
			.toList();
		for (Grant grant : lapsed) {
			this.grants.remove(grant.getId());
			JobQueue queue = grant.getQueue();
			if (queue.isSettled(grant.getIndex()) || !ItemState.isOpen(grant.getJob().getState(grant.getIndex()))) {
				continue;
			}
			ItemOutcome.Builder lost = ItemOutcome.newBuilder()
				.setIndex(grant.getIndex())
				.setCustomId(grant.getCustomId())
				.setErrorCode(ErrorCode.DEADLINE_EXCEEDED.getCode())
				.setAttempts(queue.plusAttempt(grant.getIndex()));
			if (!queue.getJob().getAccepted().getIdempotent()) {
				verdicts.add(finish(queue, grant.getIndex(),
						lost.setStatus(OutcomeStatus.UNKNOWN)
							.setErrorMessage("the host that ran the item stopped reporting")
							.build()));
			}
			else if (lost.getAttempts() >= LAPSES_PER_ATTEMPT * maxAttempts(queue)) {
				verdicts.add(finish(queue, grant.getIndex(),
						lost.setStatus(OutcomeStatus.FAILED)
							.setErrorMessage("all " + lost.getAttempts() + " runs stopped reporting")
							.build()));
			}
			else {
				requeue(queue, grant.getIndex());
			}
		}
		return verdicts;
	}

	// Returns the non-idempotent items that an earlier owner may have dispatched and that
	// nobody reported since.
	List<Verdict> abandonInherited() {
		List<Verdict> verdicts = new ArrayList<>();
		for (FairQueue.Item item : this.inherited) {
			JobState job = item.queue().getJob();
			if (ItemState.isOpen(job.getState(item.index())) && !item.queue().isSettled(item.index())) {
				item.queue().settle(item.index());
				verdicts.add(new Verdict(job,
						ItemOutcome.newBuilder()
							.setIndex(item.index())
							.setStatus(OutcomeStatus.UNKNOWN)
							.setErrorCode(ErrorCode.UPSTREAM_FAILED.getCode())
							.setErrorMessage("the owner was lost after it recorded the intent to run the item")
							.build(),
						false));
			}
		}
		this.inherited.clear();
		return verdicts;
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
		FairQueue queue = this.services.get(service);
		return queue != null && !queue.isEmpty();
	}

	Set<String> servicesWithWaiting() {
		return Set.copyOf(this.services.keySet().stream().filter(this::hasWaiting).toList());
	}

	int countLent() {
		return this.grants.size();
	}

	private Verdict complete(JobQueue queue, Grant grant, WorkOutcome report, String customId) {
		if (grant != null) {
			service(queue.getJob().getAccepted().getService()).correct(queue, grant.getCharged(), report.getTokens());
		}
		return finish(queue, report.getIndex(),
				outcome(report, OutcomeStatus.COMPLETED, customId).toBuilder().setResult(report.getResult()).build());
	}

	private Verdict crash(JobQueue queue, int index, WorkOutcome report, String customId) {
		int crashes = queue.plusCrash(index);
		if (crashes >= MAX_CRASHES) {
			return finish(queue, index,
					outcome(report, OutcomeStatus.FAILED, customId).toBuilder()
						.setErrorCode(ErrorCode.QUARANTINED.getCode())
						.setErrorMessage("the item was in flight on " + crashes + " upstreams when they were lost")
						.build());
		}
		requeue(queue, index);
		return new Verdict(queue.getJob(), ItemOutcome.newBuilder().setIndex(index).build(), true);
	}

	private Verdict retry(JobQueue queue, int index, WorkOutcome report, String customId) {
		int attempts = queue.plusAttempt(index);
		if (attempts >= maxAttempts(queue)) {
			return finish(queue, index, outcome(report, OutcomeStatus.FAILED, customId));
		}
		requeue(queue, index);
		return Verdict.NOTHING;
	}

	private Verdict finish(JobQueue queue, int index, ItemOutcome outcome) {
		queue.settle(index);
		return new Verdict(queue.getJob(), outcome, false);
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
		if (queue.isSettled(index) || !ItemState.isOpen(queue.getJob().getState(index))) {
			return;
		}
		FairQueue service = service(queue.getJob().getAccepted().getService());
		if (queue.getCrashes(index) > 0) {
			queue.release(index);
			service.addSuspect(queue, index);
		}
		else {
			queue.putBack(index);
			service.add(queue);
		}
	}

	private Grant lend(FairQueue.Item item, boolean suspect, long nowMillis) {
		long id = WorkGrants.idOf(this.partition, this.term, ++this.counter);
		Grant grant = new Grant(id, item.queue(), item.index(), suspect, item.charged());
		grant.setLeaseEndMillis(nowMillis + this.leaseMillis);
		this.grants.put(id, grant);
		return grant;
	}

	private int maxAttempts(JobQueue queue) {
		return this.policy.getMaxAttempts(queue.getJob().getAccepted().getService());
	}

	private FairQueue service(String name) {
		return this.services.computeIfAbsent(name, (key) -> new FairQueue(this.policy::getWeight));
	}

	/**
	 * What follows from a report.
	 *
	 * @param job the job, or null if nothing is to be recorded
	 * @param outcome the outcome to record; of a crash mark only its index counts
	 * @param crashMark whether a crash is to be recorded instead of an outcome
	 */
	record Verdict(JobState job, ItemOutcome outcome, boolean crashMark) {

		static final Verdict NOTHING = new Verdict(null, null, false);

		boolean isNothing() {
			return this.job == null;
		}

	}

}
