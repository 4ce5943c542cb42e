package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.gateway.workspace.RequestIdentity;
import org.wigeonglade.schema.generated.gateway.JobPart;

/**
 * State of one job, derived from the records of the stream and modified only by
 * {@link JobTable}. Not thread-safe.
 */
public final class Job {

	private final JobId id;

	private final Map<Integer, JobPart> parts = new HashMap<>();

	private final Map<ItemId, SubmittedItem> items = new LinkedHashMap<>();

	private final Map<ItemId, SubmittedItem> open = new LinkedHashMap<>();

	private final List<ItemOutcome> results = new ArrayList<>();

	private final Map<ItemId, Integer> resultPositions = new HashMap<>();

	private final List<String> recordKeys = new ArrayList<>();

	private String hostName = "";

	private String path = "";

	private Optional<WorkspaceId> workspace = Optional.empty();

	private long submittedAtMillis;

	private long openTokens;

	private boolean complete;

	private boolean ended;

	Job(JobId id) {
		this.id = id;
	}

	/**
	 * Returns the identifier of the job.
	 * @return the identifier, never null
	 */
	public JobId getId() {
		return this.id;
	}

	/**
	 * Returns whether all parts of the job have been applied, which makes it accepted.
	 * @return true if no part is missing
	 */
	public boolean isComplete() {
		return this.complete;
	}

	/**
	 * Returns whether the submitter has ended the job.
	 * @return true if its items must no longer run
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether no item of the job needs to run any more.
	 * @return true if the job has ended or all items have a result
	 */
	public boolean isDone() {
		return this.ended || (this.complete && this.open.isEmpty());
	}

	/**
	 * Returns the HTTP host name to which the job was submitted.
	 * @return the host name, never null
	 */
	public String getHostName() {
		return this.hostName;
	}

	/**
	 * Returns the URL path to which the job was submitted.
	 * @return the path, never null
	 */
	public String getPath() {
		return this.path;
	}

	/**
	 * Returns the workspace that the job belongs to.
	 * @return the workspace, empty if the job was submitted without a key
	 */
	public Optional<WorkspaceId> getWorkspace() {
		return this.workspace;
	}

	/**
	 * Returns whether a request may access the job.
	 * @param identity on whose behalf the request is made, not null
	 * @return false if the job belongs to another workspace
	 */
	public boolean isAccessibleTo(RequestIdentity identity) {
		return this.workspace.isEmpty() || this.workspace.equals(identity.workspace());
	}

	/**
	 * Returns when the job was submitted.
	 * @return milliseconds since the epoch
	 */
	public long getSubmittedAtMillis() {
		return this.submittedAtMillis;
	}

	/**
	 * Returns the number of items.
	 * @return the number, 0 while the job is incomplete
	 */
	public int getItemCount() {
		return this.items.size();
	}

	/**
	 * Returns the tokens of the items that have no result yet.
	 * @return the sum, 0 while the job is incomplete
	 */
	public long getOpenTokens() {
		return this.openTokens;
	}

	/**
	 * Returns an item. Its body is kept until it has a result or the job has ended.
	 * @param item the item, not null
	 * @return the item, empty if the job has no such item
	 */
	public Optional<SubmittedItem> findItem(ItemId item) {
		return Optional.ofNullable(this.items.get(item));
	}

	/**
	 * Returns whether an item has no result yet.
	 * @param item the item, not null
	 * @return true if the item exists and has no result
	 */
	public boolean isOpen(ItemId item) {
		return this.open.containsKey(item);
	}

	/**
	 * Returns all items.
	 * @return a live view that must not be changed, empty while the job is incomplete
	 */
	public Collection<SubmittedItem> getItems() {
		return this.items.values();
	}

	/**
	 * Returns the results starting at a position.
	 * @param from the first position, at least 0
	 * @return the results by position, empty if there are none yet; a view that is valid
	 * until the next result is added
	 */
	public List<ItemOutcome> getResults(int from) {
		return (from < this.results.size()) ? this.results.subList(from, this.results.size()) : List.of();
	}

	/**
	 * Returns the keys of all records of the job.
	 * @return the keys, never null
	 */
	public List<String> getRecordKeys() {
		return List.copyOf(this.recordKeys);
	}

	void addPart(String key, JobPart part) {
		boolean inconsistent = this.parts.values().stream().anyMatch((other) -> other.getParts() != part.getParts());
		if (part.getPart() < 0 || part.getPart() >= part.getParts() || inconsistent) {
			throw new PlatformException(ErrorCode.RECORD_INVALID, "part " + part.getPart() + " of " + part.getParts()
					+ " of job " + this.id + " does not fit the other parts", null);
		}
		if (this.complete || this.parts.putIfAbsent(part.getPart(), part) != null) {
			return;
		}
		this.recordKeys.add(key);
		if (this.parts.size() < part.getParts()) {
			return;
		}
		this.hostName = part.getRouteHost();
		this.path = part.getRoutePath();
		this.workspace = part.getWorkspace().isEmpty() ? Optional.empty()
				: Optional.of(WorkspaceId.of(part.getWorkspace()));
		this.submittedAtMillis = part.getSubmittedAtMs();
		for (int i = 0; i < part.getParts(); i++) {
			this.parts.get(i).getItemsList().forEach((item) -> {
				SubmittedItem submitted = JobRecords.read(item);
				this.items.put(submitted.id(), submitted);
			});
		}
		this.parts.clear();
		this.open.putAll(this.items);
		this.resultPositions.keySet().forEach((finished) -> {
			this.open.remove(finished);
			this.items.computeIfPresent(finished, (id, item) -> item.withoutBody());
		});
		this.openTokens = this.open.values().stream().mapToLong(SubmittedItem::tokens).sum();
		this.complete = true;
	}

	boolean addResult(String key, ItemOutcome outcome) {
		this.recordKeys.add(key);
		if (this.resultPositions.containsKey(outcome.item())) {
			return false;
		}
		this.resultPositions.put(outcome.item(), this.results.size());
		this.results.add(outcome);
		SubmittedItem finished = this.open.remove(outcome.item());
		this.items.computeIfPresent(outcome.item(), (id, item) -> item.withoutBody());
		this.openTokens -= (finished != null) ? finished.tokens() : 0;
		return true;
	}

	void end(String key) {
		this.recordKeys.add(key);
		this.ended = true;
		this.items.replaceAll((id, item) -> item.withoutBody());
		this.open.replaceAll((id, item) -> item.withoutBody());
	}

}
