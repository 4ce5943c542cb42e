package org.wigeonglade.standins;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Schedule of faults to inject into future calls, selected by the name that a call
 * addresses. Thread-safe.
 */
public final class FaultSchedule {

	private final List<Entry> entries = new ArrayList<>();

	private CallFault permanentFault;

	/**
	 * Fails the n-th matching call from now on; later calls succeed.
	 * @param namePattern a regular expression over the whole name, not null
	 * @param nth the position of the call among the matching ones, at least 1
	 * @param fault the fault, not null
	 */
	public synchronized void failNth(String namePattern, int nth, CallFault fault) {
		this.entries.add(new Entry(Pattern.compile(namePattern), nth, fault));
	}

	/**
	 * Fails every call until {@link #clear()}, in preference to other scheduled faults.
	 * @param fault the fault, not null
	 */
	public synchronized void failAll(CallFault fault) {
		this.permanentFault = fault;
	}

	/**
	 * Removes all scheduled faults.
	 */
	public synchronized void clear() {
		this.entries.clear();
		this.permanentFault = null;
	}

	/**
	 * Counts a call and returns the fault to inject into it.
	 * @param name the name that the call addresses, not null
	 * @return the fault, empty if none is due
	 */
	public synchronized Optional<CallFault> next(String name) {
		CallFault result = this.permanentFault;
		for (Iterator<Entry> iterator = this.entries.iterator(); iterator.hasNext();) {
			Entry entry = iterator.next();
			if (!entry.pattern.matcher(name).matches()) {
				continue;
			}
			entry.remaining--;
			if (entry.remaining == 0) {
				iterator.remove();
				result = (result != null) ? result : entry.fault;
			}
		}
		return Optional.ofNullable(result);
	}

	private static final class Entry {

		private final Pattern pattern;

		private final CallFault fault;

		private int remaining;

		private Entry(Pattern pattern, int remaining, CallFault fault) {
			this.pattern = pattern;
			this.remaining = remaining;
			this.fault = fault;
		}

	}

}
