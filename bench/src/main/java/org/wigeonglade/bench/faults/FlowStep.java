package org.wigeonglade.bench.faults;

/**
 * Steps of the flows at which a fault is injected.
 */
public enum FlowStep {

	/** The acceptance of a job reached the log. */
	ACCEPT,

	/** A partition was claimed by another host. */
	CLAIM,

	/** A batch item reached an engine. */
	DISPATCH,

	/** An online request got its first token. */
	FIRST_TOKEN,

	/** An online request is in the middle of its stream. */
	STREAM,

	/** The outcome of an item reached the log. */
	OUTCOME,

	/** The client was told that its job is accepted. */
	ACKNOWLEDGE,

	/** The cancellation of a job reached the log. */
	CANCEL,

	/** A configuration reached the log. */
	PUBLISH,

	/** A host is in the middle of a planned stop. */
	DRAIN;

	/**
	 * Returns the name in reports.
	 * @return lower case with hyphens
	 */
	public String getText() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

}
