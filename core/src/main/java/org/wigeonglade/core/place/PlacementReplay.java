package org.wigeonglade.core.place;

import java.util.HashMap;
import java.util.Map;

import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.PlacementClaim;
import org.wigeonglade.schema.generated.log.PlacementRelease;
import org.wigeonglade.schema.generated.log.PlacementState;

/**
 * State machine of the placement leases, replayed from the control stream. The first
 * claim with a term above the current one wins; state and release records of other terms
 * or writers are ignored. Terms may skip numbers, because an engine may have seen a
 * higher term than the retained records show. Immutable.
 */
public final class PlacementReplay {

	private static final PlacementReplay START = new PlacementReplay(0, false, Map.of());

	private final long nextOffset;

	private final boolean historyTruncated;

	private final Map<PlacementKey, PlacementTerm> terms;

	private PlacementReplay(long nextOffset, boolean historyTruncated, Map<PlacementKey, PlacementTerm> terms) {
		this.nextOffset = nextOffset;
		this.historyTruncated = historyTruncated;
		this.terms = terms;
	}

	/**
	 * Returns the state before the first record.
	 * @return the state at offset 0, without terms
	 */
	public static PlacementReplay start() {
		return START;
	}

	/**
	 * Returns the offset to read next.
	 * @return the offset, at least 0
	 */
	public long getNextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the term of a key.
	 * @param key the key, not null
	 * @return the term, {@link PlacementTerm#NONE} before the first claim
	 */
	public PlacementTerm get(PlacementKey key) {
		return this.terms.getOrDefault(key, PlacementTerm.NONE);
	}

	/**
	 * Applies the oldest retained offset.
	 * @param oldestOffset the offset of the oldest retained record
	 * @return the state; once records have expired unread, a state record of a higher
	 * term replaces its claim
	 */
	public PlacementReplay withOldest(long oldestOffset) {
		return (oldestOffset <= this.nextOffset) ? this : new PlacementReplay(oldestOffset, true, this.terms);
	}

	/**
	 * Applies a record. Records before {@link #getNextOffset()} are ignored.
	 * @param offset the offset of the record
	 * @param record the record, not null
	 * @return the state after it
	 */
	public PlacementReplay plus(long offset, LogRecord record) {
		if (offset < this.nextOffset) {
			return this;
		}
		Map<PlacementKey, PlacementTerm> next = new HashMap<>(this.terms);
		for (LogEntry entry : record.getEntriesList()) {
			if (entry.hasPlacementClaim()) {
				applyClaim(next, offset, entry.getPlacementClaim());
			}
			else if (entry.hasPlacementState()) {
				applyState(next, offset, record, entry.getPlacementState());
			}
			else if (entry.hasPlacementRelease()) {
				applyRelease(next, offset, record, entry.getPlacementRelease());
			}
		}
		return new PlacementReplay(offset + 1, this.historyTruncated, Map.copyOf(next));
	}

	private void applyClaim(Map<PlacementKey, PlacementTerm> next, long offset, PlacementClaim claim) {
		PlacementKey key = key(claim.getService(), claim.getFailureDomain());
		PlacementTerm current = next.getOrDefault(key, PlacementTerm.NONE);
		if (claim.getTerm() > current.term()) {
			next.put(key, new PlacementTerm(claim.getTerm(), claim.getHost(), claim.getIncarnation(), false, offset,
					current.assignments()));
		}
	}

	private void applyState(Map<PlacementKey, PlacementTerm> next, long offset, LogRecord record,
			PlacementState state) {
		PlacementKey key = key(state.getService(), state.getFailureDomain());
		PlacementTerm current = next.getOrDefault(key, PlacementTerm.NONE);
		boolean byHolder = state.getTerm() == current.term()
				&& current.isHeldBy(record.getHost(), record.getIncarnation());
		boolean claimExpired = this.historyTruncated && state.getTerm() > current.term();
		if (byHolder || claimExpired) {
			next.put(key, new PlacementTerm(state.getTerm(), record.getHost(), record.getIncarnation(), false, offset,
					state.getAssignmentsList()));
		}
	}

	private void applyRelease(Map<PlacementKey, PlacementTerm> next, long offset, LogRecord record,
			PlacementRelease release) {
		PlacementKey key = key(release.getService(), release.getFailureDomain());
		PlacementTerm current = next.getOrDefault(key, PlacementTerm.NONE);
		if (release.getTerm() == current.term() && current.isHeldBy(record.getHost(), record.getIncarnation())) {
			next.put(key, new PlacementTerm(current.term(), current.host(), current.incarnation(), true, offset,
					current.assignments()));
		}
	}

	private static PlacementKey key(String service, String domain) {
		return new PlacementKey(ServiceName.of(service), FailureDomain.of(domain));
	}

}
