package org.wigeonglade.gateway.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Selects the reports of speeds that fit into a datagram, as a token bucket of bytes that
 * each datagram fills by a share of its size. Not thread-safe.
 */
final class DatagramBudget {

	/** Share of the bytes of a datagram; the limit is 10%. */
	private static final double SHARE = 0.09;

	/** Bytes of a datagram without loads, at least: its sender, number and states. */
	private static final int FIXED_BYTES = 48;

	/** Bytes of the load of a runner, at least, without the runner's name. */
	private static final int LOAD_BYTES = 6;

	/** Bytes of one report: the tag and at most 21 bits. */
	private static final int REPORT_BYTES = 4;

	/** Most bytes that are saved for a later datagram. */
	private static final int MAX_SAVED_BYTES = 40;

	private double bytes;

	private int offset;

	/**
	 * Selects the reports of one datagram. Each datagram begins with another runner,
	 * since consecutive ones go to different hosts.
	 * @param loaded the runners that the datagram names, not null
	 * @param report returns the report of a runner as a number, 0 if there is none
	 * @return the reports by runner, never null
	 */
	Map<RunnerId, Integer> select(Collection<RunnerId> loaded, ToIntFunction<RunnerId> report) {
		double size = FIXED_BYTES;
		for (RunnerId runner : loaded) {
			size += LOAD_BYTES + runner.value().length();
		}
		this.bytes = Math.min(this.bytes, MAX_SAVED_BYTES) + SHARE * size;
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
		return selected;
	}

}
