package org.wigeonglade.gateway.stream;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Checks that the numbered events of an answer follow each other without a gap or a
 * repetition, over all runners that they come from. Not thread-safe.
 */
public final class EventSequence {

	private OptionalLong last;

	/**
	 * Creates a sequence.
	 * @param last the event that the next one must follow, not null; empty if any event
	 * may be the first
	 */
	public EventSequence(OptionalLong last) {
		this.last = last;
	}

	/**
	 * Returns the last event.
	 * @return its number, empty before the first one
	 */
	public OptionalLong getLast() {
		return this.last;
	}

	/**
	 * Adds an event if it follows the last one. Events without a number may stand
	 * anywhere.
	 * @param event the event, not null
	 * @return why it was not added, empty if it was
	 */
	public Optional<String> add(StreamEvent event) {
		if (event.id() < 0) {
			return Optional.empty();
		}
		if (this.last.isPresent() && event.id() != this.last.getAsLong() + 1) {
			return Optional.of("event " + event.id() + " follows event " + this.last.getAsLong());
		}
		this.last = OptionalLong.of(event.id());
		return Optional.empty();
	}

}
