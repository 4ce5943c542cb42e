package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The directory of registered runners. Registrations may expire while the platform's
 * store is unavailable. So that an outage does not empty the directory, the removal of a
 * runner that has not registered since the store is available again is deferred until
 * {@link #REREGISTRATION_GRACE_MILLIS} after that moment; live runners register again
 * within that time. The grace period ends sooner if another host could read the store all
 * the while. All other removals are those of runners that leave or have crashed. Not
 * thread-safe.
 */
public final class RunnerDirectory {

	/**
	 * Time in milliseconds within which live runners register again after an outage of
	 * the store: two seconds are guaranteed by the platform, and half a second is added
	 * for the delay of reading.
	 */
	public static final long REREGISTRATION_GRACE_MILLIS = 2_500;

	/**
	 * Maximum time in milliseconds between two responses of the store without an outage;
	 * registrations do not expire within it.
	 */
	static final long MAX_RESPONSE_GAP_MILLIS = 1_500;

	/**
	 * Time in milliseconds after an outage until the statements of other hosts count:
	 * until then, datagrams may be processed that were received during the outage.
	 */
	static final long STATEMENT_DELAY_MILLIS = 250;

	private final Map<RunnerId, RunnerEntry> entries = new HashMap<>();

	private final Map<RunnerId, Long> pendingRemovals = new HashMap<>();

	private final Set<RunnerId> renewed = new HashSet<>();

	private long graceEndMillis = Long.MIN_VALUE;

	private long lastResponseMillis = Long.MIN_VALUE / 2;

	private long steadySinceMillis = Long.MAX_VALUE / 2;

	private boolean storeAvailable;

	private boolean outageSeen;

	private boolean catchingUp;

	/**
	 * Adds or replaces an entry, unless a later process of the runner has been seen.
	 * @param entry the entry, not null
	 * @return true if the entry is new or differs from the previous one
	 */
	public boolean put(RunnerEntry entry) {
		RunnerEntry present = this.entries.get(entry.id());
		if (present != null && !present.version().isKnown() && entry.startedMillis() < present.startedMillis()) {
			return false;
		}
		this.pendingRemovals.remove(entry.id());
		if (!this.catchingUp) {
			this.renewed.add(entry.id());
		}
		return !entry.equals(this.entries.put(entry.id(), entry));
	}

	/**
	 * Identifies the process that a connection leads to. A later process than the
	 * registered one takes its place until it is registered itself.
	 * @param placed the entry by which the connection was opened, not null
	 * @param startedMillis the start of the process in milliseconds since the epoch, by
	 * its own report on the connection
	 * @return the identity, never null
	 */
	public ProcessIdentity identify(RunnerEntry placed, long startedMillis) {
		RunnerEntry known = this.entries.getOrDefault(placed.id(), placed);
		if (startedMillis < known.startedMillis()) {
			return new ProcessIdentity.Former();
		}
		if (startedMillis > known.startedMillis()) {
			RunnerEntry restarted = known.withRestart(startedMillis);
			this.entries.replace(placed.id(), restarted);
			return new ProcessIdentity.Unregistered(restarted);
		}
		return known.version().isKnown() ? new ProcessIdentity.Registered(known)
				: new ProcessIdentity.Unregistered(known);
	}

	/**
	 * Removes an entry, or schedules its removal for the end of the grace period after an
	 * outage. Entries of runners that are draining or have registered since the outage
	 * are always removed immediately.
	 * @param id the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @return what was done, never null
	 */
	public Removal remove(RunnerId id, long nowMillis) {
		RunnerEntry entry = this.entries.get(id);
		if (entry == null) {
			return new Removal.Unknown();
		}
		if (nowMillis < this.graceEndMillis && !entry.draining() && !this.renewed.contains(id)) {
			boolean added = this.pendingRemovals.putIfAbsent(id, this.graceEndMillis) == null;
			return added ? new Removal.Deferred(this.graceEndMillis - nowMillis) : new Removal.Unknown();
		}
		this.pendingRemovals.remove(id);
		this.renewed.remove(id);
		this.entries.remove(id);
		return new Removal.Removed();
	}

	/**
	 * Records that the store cannot be reached. Scheduled removals are suspended until it
	 * can.
	 */
	public void storeUnreachable() {
		this.storeAvailable = false;
		this.outageSeen = true;
	}

	/**
	 * Records that the store responded; called before the records of the response are
	 * applied. After an outage, this starts the grace period. The records of the first
	 * response may be from the time of the outage.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void storeReachable(long nowMillis) {
		this.catchingUp = !this.storeAvailable && this.outageSeen;
		if (this.catchingUp) {
			this.graceEndMillis = nowMillis + REREGISTRATION_GRACE_MILLIS;
			this.renewed.clear();
		}
		if (!this.storeAvailable || nowMillis - this.lastResponseMillis > MAX_RESPONSE_GAP_MILLIS) {
			this.steadySinceMillis = nowMillis;
		}
		this.lastResponseMillis = nowMillis;
		this.storeAvailable = true;
	}

	/**
	 * Returns whether the store has responded without an outage for at least
	 * {@link #REREGISTRATION_GRACE_MILLIS}, so that a registration that is missing has
	 * not expired because of the store.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return true if it has
	 */
	public boolean isSteady(long nowMillis) {
		return this.storeAvailable && nowMillis - this.lastResponseMillis <= MAX_RESPONSE_GAP_MILLIS
				&& nowMillis - this.steadySinceMillis >= REREGISTRATION_GRACE_MILLIS;
	}

	/**
	 * Records that the directory of another host is {@link #isSteady steady}. An outage
	 * that this host has seen was its own then, so that the grace period ends.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the runners whose removal had been scheduled, never null
	 */
	public List<RunnerId> recordSteadyHost(long nowMillis) {
		long graceStartMillis = this.graceEndMillis - REREGISTRATION_GRACE_MILLIS;
		if (!this.storeAvailable || nowMillis >= this.graceEndMillis
				|| nowMillis < graceStartMillis + STATEMENT_DELAY_MILLIS) {
			return List.of();
		}
		this.graceEndMillis = nowMillis;
		this.pendingRemovals.replaceAll((id, due) -> nowMillis);
		return expire(nowMillis);
	}

	/**
	 * Returns whether the store responded to the last call.
	 * @return false before the first response and during an outage
	 */
	public boolean isStoreAvailable() {
		return this.storeAvailable;
	}

	/**
	 * Removes the entries whose scheduled removal is due, if the store is available.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the runners that were removed, never null
	 */
	public List<RunnerId> expire(long nowMillis) {
		List<RunnerId> removed = new ArrayList<>();
		for (Iterator<Map.Entry<RunnerId, Long>> i = this.pendingRemovals.entrySet().iterator(); i.hasNext();) {
			Map.Entry<RunnerId, Long> next = i.next();
			if (this.storeAvailable && next.getValue() <= nowMillis) {
				this.entries.remove(next.getKey());
				this.renewed.remove(next.getKey());
				i.remove();
				removed.add(next.getKey());
			}
		}
		return removed;
	}

	/**
	 * Returns the entry of a runner.
	 * @param id the runner, not null
	 * @return the entry, empty if it is not registered
	 */
	public Optional<RunnerEntry> find(RunnerId id) {
		return Optional.ofNullable(this.entries.get(id));
	}

	/**
	 * Returns all entries, including those of draining runners.
	 * @return a live view, not to be modified
	 */
	public Collection<RunnerEntry> getEntries() {
		return this.entries.values();
	}

	/**
	 * What became of an entry that was to be removed.
	 */
	public sealed interface Removal {

		/**
		 * The entry was removed.
		 */
		record Removed() implements Removal {

		}

		/**
		 * The removal was scheduled.
		 *
		 * @param millis the time until it is due, in milliseconds
		 */
		record Deferred(long millis) implements Removal {

		}

		/**
		 * There is no such entry, or its removal was scheduled before.
		 */
		record Unknown() implements Removal {

		}

	}

}
