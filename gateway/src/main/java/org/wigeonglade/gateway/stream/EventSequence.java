package org.wigeonglade.gateway.stream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks that the ids of the events of a response are consecutive, without gaps or
 * duplicates, also when several runners produce them. Not thread-safe.
 */
public final class EventSequence {

	private final boolean idRequired;

	private OptionalLong last;

	private EventSequence(OptionalLong last, boolean idRequired) {
		this.last = last;
		this.idRequired = idRequired;
	}

	/**
	 * Returns the sequence of a stream that may be resumed, so that each of its events
	 * has an id.
	 * @param last the id that the first event must follow; empty if the first event may
	 * have any id
	 * @return the sequence, never null
	 */
	public static EventSequence ofResumable(OptionalLong last) {
		return new EventSequence(last, true);
	}

	/**
	 * Returns the sequence of a stream that is never resumed. If its first event has no
	 * id, none needs one.
	 * @return the sequence, never null
	 */
	public static EventSequence ofSingleRun() {
		return new EventSequence(OptionalLong.empty(), false);
	}

	/**
	 * Returns the id of the last event.
	 * @return the id, empty if there is none yet
	 */
	public OptionalLong getLast() {
		return this.last;
	}

	/**
	 * Accepts an event if its id follows the last one. Comments are accepted anywhere.
	 * Other events without an id belong to no stream that has ids, and may be the text of
	 * an error.
	 * @param event the event, not null
	 * @return why the event was rejected, empty if it was accepted
	 */
	public Optional<String> add(StreamEvent event) {
		if (event.id() < 0) {
			boolean accepted = event.isComment() || (!this.idRequired && this.last.isEmpty());
			return accepted ? Optional.empty() : Optional.of("event without an id received after "
					+ (this.last.isPresent() ? "event " + this.last.getAsLong() : "no event"));
		}
		if (this.last.isPresent() && event.id() != this.last.getAsLong() + 1) {
			return Optional.of("event " + event.id() + " received after event " + this.last.getAsLong());
		}
		this.last = OptionalLong.of(event.id());
		return Optional.empty();
	}

}
