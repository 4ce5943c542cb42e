package org.wigeonglade.gateway.stream;

import java.util.Optional;
import java.util.function.Function;

import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerLifetime;
import org.wigeonglade.gateway.fleet.SoftwareVersion;

/**
 * The runners that may produce the next event of a stream.
 */
public sealed interface StreamBinding {

	/**
	 * Returns the binding of a stream that was begun elsewhere.
	 * @param origin what began the stream, empty if that is not known
	 * @return the binding, never null
	 */
	static StreamBinding ofResumed(Optional<StreamOrigin> origin) {
		return origin.<StreamBinding>map(Bound::new).orElseGet(Unknown::new);
	}

	/**
	 * Returns whether a runner may produce the next event.
	 * @param runner the runner, not null
	 * @return true if its output fits the events before
	 */
	default boolean permits(RunnerEntry runner) {
		return switch (this) {
			case Open open -> true;
			case Bound bound -> bound.origin.permits(runner);
			case Unknown unknown -> false;
		};
	}

	/**
	 * Returns the binding after a runner has produced an event.
	 * @param runner the runner, not null
	 * @return the binding to the runner's version, or this one if the stream was bound
	 */
	default StreamBinding afterEventFrom(RunnerEntry runner) {
		return switch (this) {
			case Open open -> new Bound(StreamOrigin.of(runner));
			case Bound bound -> bound;
			case Unknown unknown -> unknown;
		};
	}

	/**
	 * Returns the binding with the version of the process that it names, if that is known
	 * by now.
	 * @param versions finds the version of a process, not null
	 * @return the binding, or this one if there is nothing to add
	 */
	default StreamBinding resolve(Function<RunnerLifetime, Optional<SoftwareVersion>> versions) {
		return (this instanceof Bound bound) ? new Bound(bound.origin.resolve(versions)) : this;
	}

	/**
	 * No event has been produced, so any runner may begin.
	 */
	record Open() implements StreamBinding {

	}

	/**
	 * Events have been produced.
	 *
	 * @param origin what produced them, not null
	 */
	record Bound(StreamOrigin origin) implements StreamBinding {

	}

	/**
	 * Events have been produced, but it is not known by what.
	 */
	record Unknown() implements StreamBinding {

	}

}
