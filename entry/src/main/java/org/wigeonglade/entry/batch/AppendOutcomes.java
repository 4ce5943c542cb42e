package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.function.Function;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.PartitionAgent;
import org.wigeonglade.core.batch.PartitionState;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.error.RefusedException;

/**
 * Determines the outcome of appends: reads the state back before it is reported, and
 * distinguishes records that were not appended from those that may have been.
 */
final class AppendOutcomes {

	/** Time after which a client may retry when the log is unavailable. */
	static final Duration RETRY_AFTER = Duration.ofSeconds(5);

	private static final int MAX_RETRIES = 5;

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

	private AppendOutcomes() {
	}

	static <T> Uni<T> readState(PartitionAgent agent, Function<PartitionState, T> reader) {
		return agent.catchUp()
			.onFailure(PlatformException.class)
			.retry()
			.withBackOff(INITIAL_BACKOFF, MAX_BACKOFF)
			.atMost(MAX_RETRIES)
			.onFailure()
			.transform((failure) -> new PlatformException(ErrorCode.PLATFORM_UNKNOWN,
					"the record was appended but could not be read back", failure))
			.map(reader);
	}

	// To be used only if nothing that takes effect was appended.
	static RefusedException refused(Throwable failure) {
		return new RefusedException(ErrorCode.PLATFORM_UNAVAILABLE,
				"the log service is unavailable: " + failure.getMessage(), RETRY_AFTER);
	}

	static Throwable refusedIfNotAppended(Throwable failure) {
		return (failure instanceof PlatformException platform && !platform.isUnknown()) ? refused(failure) : failure;
	}

}
