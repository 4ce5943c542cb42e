package org.wigeonglade.core.batch;

import org.wigeonglade.schema.generated.log.OutcomeStatus;

/**
 * Packed state of an item in one byte: the state in the lower four bits, the crash count
 * in the upper four. The values are part of snapshots in the log.
 */
public final class ItemState {

	/** Waiting or running, without a recorded intent. */
	public static final int PENDING = 0;

	/** Not idempotent, with a recorded intent to run it; may have been dispatched. */
	public static final int INTENDED = 1;

	/** Ended with a result. */
	public static final int COMPLETED = 2;

	/** Ended without a result. */
	public static final int FAILED = 3;

	/** Cancelled with its job before it had an outcome. */
	public static final int CANCELLED = 4;

	/** Not idempotent; whether it ran is unknown and there is no result. */
	public static final int UNKNOWN = 5;

	static final int COUNT = 6;

	private static final int STATE_MASK = 0x0f;

	private static final int CRASH_SHIFT = 4;

	private static final int MAX_CRASHES = 15;

	private ItemState() {
	}

	static int stateOf(byte packed) {
		return packed & STATE_MASK;
	}

	static int crashCount(byte packed) {
		return (packed >> CRASH_SHIFT) & STATE_MASK;
	}

	static byte withState(byte packed, int state) {
		return (byte) ((packed & ~STATE_MASK) | state);
	}

	static byte withCrash(byte packed) {
		int crashes = Math.min(MAX_CRASHES, crashCount(packed) + 1);
		return (byte) ((crashes << CRASH_SHIFT) | stateOf(packed));
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
