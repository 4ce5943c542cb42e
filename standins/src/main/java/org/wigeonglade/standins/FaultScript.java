package org.wigeonglade.standins;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Faults scheduled for coming calls, by the name that a call addresses. Thread-safe.
 */
public final class FaultScript {

	private final List<Entry> entries = new ArrayList<>();

	private CallFault standing;

	/**
	 * Fails the n-th matching call from now on, once.
	 * @param namePattern a regular expression over the whole name, not null
	 * @param nth the number of the call, at least 1
	 * @param fault the fault, not null
	 */
	public synchronized void failNth(String namePattern, int nth, CallFault fault) {
		this.entries.add(new Entry(Pattern.compile(namePattern), nth, fault));
	}

	/**
	 * Fails every call until {@link #clear()}.
	 * @param fault the fault, not null
	 */
	public synchronized void failAll(CallFault fault) {
		this.standing = fault;
	}

	/**
	 * Ends all scheduled faults.
	 */
	public synchronized void clear() {
		this.entries.clear();
		this.standing = null;
	}

	/**
	 * Counts a call and returns its fault.
	 * @param name the name that the call addresses, not null
	 * @return the fault, empty if the call is to succeed
	 */
	public synchronized Optional<CallFault> next(String name) {
		CallFault due = this.standing;
		for (Iterator<Entry> iterator = this.entries.iterator(); iterator.hasNext();) {
			Entry entry = iterator.next();
			if (!entry.pattern.matcher(name).matches()) {
				continue;
			}
			entry.remaining--;
			if (entry.remaining == 0) {
				iterator.remove();
				due = (due != null) ? due : entry.fault;
			}
		}
		return Optional.ofNullable(due);
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
