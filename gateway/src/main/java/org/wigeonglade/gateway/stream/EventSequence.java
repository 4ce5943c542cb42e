package org.wigeonglade.gateway.stream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks that the ids of the events of a response are consecutive, without gaps or
 * duplicates, also when several runners produce them. Not thread-safe.
 */
public final class EventSequence {

	private OptionalLong last;

	/**
	 * Creates a sequence.
	 * @param last the id that the first event must follow; empty if the first event may
	 * have any id
	 */
	public EventSequence(OptionalLong last) {
		this.last = last;
	}

	/**
	 * Returns the id of the last event.
	 * @return the id, empty if there is none yet
	 */
	public OptionalLong getLast() {
		return this.last;
	}

	/**
	 * Accepts an event if its id follows the last one. Events without an id are accepted
	 * anywhere.
	 * @param event the event, not null
	 * @return why the event was rejected, empty if it was accepted
	 */
	public Optional<String> add(StreamEvent event) {
		if (event.id() < 0) {
			return Optional.empty();
		}
		if (this.last.isPresent() && event.id() != this.last.getAsLong() + 1) {
			return Optional.of("event " + event.id() + " received after event " + this.last.getAsLong());
		}
		this.last = OptionalLong.of(event.id());
		return Optional.empty();
	}

}
