package org.wigeonglade.bench.faults;

import java.util.Locale;

/**
 * Faults of the failure model.
 */
public enum FaultKind {

	/** A runner dies with items in flight and comes back later. */
	RUNNER_LOST(false),

	/** An entry host is lost without handover. */
	HOST_LOST(false),

	/** A client loses patience, closes its connections and sends its job again. */
	CLIENT_RESENDS(false),

	/** The log refuses every call for a while. */
	PLATFORM_DOWN(false),

	/** The log and the host list give no answer for a while. */
	PLATFORM_SILENT(false),

	/** The log answers slowly for a while. */
	PLATFORM_SLOW(false),

	/** Answers of the log are lost after the append took effect. */
	ANSWER_LOST(false),

	/** A host is paused for longer than its leases. */
	HOLDER_PAUSED(false),

	/** Two operators publish the same version at once. */
	OPERATORS_RACE(false),

	/** A request crashes each engine that runs it and its caller sends it again. */
	POISON_REQUEST(false),

	/** A failure domain cannot send to another one. */
	PARTITION_ONE_WAY(false),

	/** A failure domain is cut off from the others and from the platform. */
	PARTITION_FULL(false),

	/** A runner leaves. */
	RUNNER_LEAVES(false),

	/** An entry host leaves by a planned stop. */
	HOST_LEAVES(false),

	/** Cache events come late and with gaps during the whole run. */
	CACHE_EVENTS_GAPPED(true),

	/** The clocks of the hosts differ by minutes and run at other rates. */
	CLOCKS_SKEWED(true);

	private final boolean wholeRun;

	FaultKind(boolean wholeRun) {
		this.wholeRun = wholeRun;
	}

	/**
	 * Returns whether the fault is present from the start to the end of a run.
	 * @return true if it does not belong to a step
	 */
	public boolean isWholeRun() {
		return this.wholeRun;
	}

	/**
	 * Returns the name in reports.
	 * @return lower case with hyphens
	 */
	public String getText() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
