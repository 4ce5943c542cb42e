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
 * Reads back what was appended, before a caller is told about it.
 */
final class Readback {

	/** A client may come back after this time when the log is unavailable. */
	static final Duration RETRY_AFTER = Duration.ofSeconds(5);

	private static final int RETRIES = 5;

	private static final Duration FIRST_DELAY = Duration.ofMillis(50);

	private static final Duration MAX_DELAY = Duration.ofSeconds(1);

	private Readback() {
	}

	static <T> Uni<T> judge(PartitionAgent agent, Function<PartitionState, T> judgement) {
		return agent.catchUp()
			.onFailure(PlatformException.class)
			.retry()
			.withBackOff(FIRST_DELAY, MAX_DELAY)
			.atMost(RETRIES)
			.onFailure()
			.transform((failure) -> new PlatformException(ErrorCode.PLATFORM_UNKNOWN,
					"the record was appended but could not be read back", failure))
			.map(judgement);
	}

	// Nothing was appended that could have an effect.
	static RefusedException refused(Throwable failure) {
		return new RefusedException(ErrorCode.PLATFORM_UNAVAILABLE,
				"the log service is unavailable: " + failure.getMessage(), RETRY_AFTER);
	}

	static Throwable translate(Throwable failure) {
		return (failure instanceof PlatformException platform && !platform.isUnknown()) ? refused(failure) : failure;
	}

}
