package org.wigeonglade.gateway.fleet;

import java.util.Optional;

import com.google.common.hash.Hashing;

/**
 * What one host has lately observed of a runner process, as sent to the other hosts in 21
 * bits, which take at most three bytes of a datagram: speed and time on logarithmic
 * scales, and a part of the hash of the start of the process.
 *
 * @param speed the work done by a slot in a unit of time, relative to the mean of the
 * service
 * @param timeMillis the slot time that it was observed for, decayed by age
 * @param process the hash of the start of the process, from 0 to 127
 */
record SpeedReport(double speed, double timeMillis, int process) {

	private static final int PROCESS_BITS = 7;

	private static final int TIME_BITS = 5;

	private static final int SPEED_BITS = 9;

	/** Speeds from 1/32 to 32 can be told apart in steps of 1.4%. */
	private static final double MAX_LOG2_SPEED = 5;

	/** Times up to 4 s, the shortest one 8 ms. */
	private static final double MIN_TIME_MILLIS = 8;

	private static final double TIME_STEP_LOG2 = 0.29;

	private static final int SPEED_STEPS = (1 << SPEED_BITS) - 1;

	private static final int TIME_STEPS = (1 << TIME_BITS) - 1;

	static int hashOf(long startedMillis) {
		return Hashing.murmur3_32_fixed().hashLong(startedMillis).asInt() & ((1 << PROCESS_BITS) - 1);
	}

	/**
	 * Returns the report as a number.
	 * @return a number of 21 bits, 0 if the observed time is too short to be told
	 */
	int encode() {
		if (!(this.timeMillis >= MIN_TIME_MILLIS)) {
			return 0;
		}
		double log = Math.clamp(log2(Math.max(Double.MIN_NORMAL, this.speed)), -MAX_LOG2_SPEED, MAX_LOG2_SPEED);
		long speedCode = Math.clamp(Math.round((log / MAX_LOG2_SPEED + 1) / 2 * SPEED_STEPS), 1, SPEED_STEPS);
		long timeCode = Math.clamp(Math.round(log2(this.timeMillis / MIN_TIME_MILLIS) / TIME_STEP_LOG2), 0, TIME_STEPS);
		return (int) ((speedCode << (TIME_BITS + PROCESS_BITS)) | (timeCode << PROCESS_BITS) | this.process);
	}

	/**
	 * Reads a report.
	 * @param code the number
	 * @return the report, empty if the number is none that {@link #encode()} returns
	 */
	static Optional<SpeedReport> decode(int code) {
		int speedCode = code >>> (TIME_BITS + PROCESS_BITS);
		if (speedCode < 1 || speedCode > SPEED_STEPS) {
			return Optional.empty();
		}
		int timeCode = (code >>> PROCESS_BITS) & TIME_STEPS;
		double log = ((double) speedCode / SPEED_STEPS * 2 - 1) * MAX_LOG2_SPEED;
		return Optional.of(new SpeedReport(Math.pow(2, log), MIN_TIME_MILLIS * Math.pow(2, timeCode * TIME_STEP_LOG2),
				code & ((1 << PROCESS_BITS) - 1)));
	}

	private static double log2(double value) {
		return Math.log(value) / Math.log(2);
	}

}
