package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Selects the reports of speeds that fit into a datagram, as token buckets of bytes that
 * each datagram fills by a share of its size: one for runners that it names anyway, one
 * for others, whose requests are over before the datagram is sent. Not thread-safe.
 */
final class DatagramBudget {

	/** Share of the bytes of a datagram; the limit of both together is 10%. */
	private static final double LOADED_SHARE = 0.07;

	private static final double IDLE_SHARE = 0.02;

	/** Bytes of a datagram without loads, at least: its sender, number and states. */
	private static final int FIXED_BYTES = 48;

	/** Bytes of the load of a runner, at least, without the runner's name. */
	private static final int LOAD_BYTES = 6;

	/** Bytes of one report: the tag and at most 21 bits. */
	private static final int REPORT_BYTES = 4;

	/** Most bytes that are saved for a later datagram. */
	private static final int MAX_SAVED_BYTES = 64;

	private double bytes;

	private double idleBytes;

	private int offset;

	/**
	 * Selects the reports of one datagram. Each datagram begins with another runner,
	 * since consecutive ones go to different hosts.
	 * @param loaded the runners that the datagram names, not null
	 * @param idle the runners without requests of this host that are to be told, not null
	 * @param report returns the report of a runner as a number, 0 if there is none
	 * @return the reports by runner, never null
	 */
	Map<RunnerId, Integer> select(Collection<RunnerId> loaded, Collection<RunnerId> idle,
			ToIntFunction<RunnerId> report) {
		double size = FIXED_BYTES;
		for (RunnerId runner : loaded) {
			size += LOAD_BYTES + runner.value().length();
		}
		this.bytes = Math.min(this.bytes, MAX_SAVED_BYTES) + LOADED_SHARE * size;
		this.idleBytes = Math.min(this.idleBytes, MAX_SAVED_BYTES) + IDLE_SHARE * size;
		List<RunnerId> order = new ArrayList<>(loaded);
		if (!order.isEmpty()) {
			this.offset = Math.floorMod(this.offset + 1, 1 << 16);
			order.sort((a, b) -> a.value().compareTo(b.value()));
			Collections.rotate(order, this.offset);
		}
		Map<RunnerId, Integer> selected = new HashMap<>();
		for (RunnerId runner : order) {
			int code = (this.bytes >= REPORT_BYTES) ? report.applyAsInt(runner) : 0;
			if (code != 0) {
				selected.put(runner, code);
				this.bytes -= REPORT_BYTES;
			}
		}
		for (RunnerId runner : idle) {
			int cost = LOAD_BYTES + runner.value().length() + REPORT_BYTES;
			int code = (this.idleBytes >= cost) ? report.applyAsInt(runner) : 0;
			if (code != 0) {
				selected.put(runner, code);
				this.idleBytes -= cost;
			}
		}
		return selected;
	}

}
