package org.wigeonglade.core.batch;

import org.wigeonglade.schema.generated.log.OutcomeStatus;

/**
 * States of an item as they are kept in one byte: the state in the lower half, the number
 * of crashes in the upper half.
 */
public final class ItemState {

	/** Waits or runs. */
	public static final int PENDING = 0;

	/** Not idempotent and possibly dispatched; no outcome yet. */
	public static final int INTENDED = 1;

	/** Has a result. */
	public static final int COMPLETED = 2;

	/** Ended without a result. */
	public static final int FAILED = 3;

	/** Stopped by the cancellation of its job. */
	public static final int CANCELLED = 4;

	/** Not idempotent, may have run, and has no result. */
	public static final int UNKNOWN = 5;

	static final int COUNT = 6;

	private static final int STATE_MASK = 0x0f;

	private static final int CRASH_SHIFT = 4;

	private static final int MAX_CRASHES = 15;

	private ItemState() {
	}

	static int of(byte packed) {
		return packed & STATE_MASK;
	}

	static int crashes(byte packed) {
		return (packed >> CRASH_SHIFT) & STATE_MASK;
	}

	static byte withState(byte packed, int state) {
		return (byte) ((packed & ~STATE_MASK) | state);
	}

	static byte plusCrash(byte packed) {
		int crashes = Math.min(MAX_CRASHES, crashes(packed) + 1);
		return (byte) ((crashes << CRASH_SHIFT) | of(packed));
	}

	static boolean isOpen(int state) {
		return state == PENDING || state == INTENDED;
	}

	static int fromOutcome(OutcomeStatus status) {
		return switch (status) {
			case COMPLETED -> COMPLETED;
			case FAILED -> FAILED;
			case UNKNOWN -> UNKNOWN;
			default -> -1;
		};
	}

}
