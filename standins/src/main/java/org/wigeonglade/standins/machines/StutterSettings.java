package org.wigeonglade.standins.machines;

import java.util.List;

/**
 * How often a runner answers otherwise than it should. Shares are between 0 and 1, of all
 * answers.
 *
 * @param copies the share of answers that are written twice
 * @param forms the forms of the copies, of which each is equally frequent, not null
 * @param cuts the share of answers that are cut
 * @param errors the share of answers with status 500
 * @param refusals the share of requests that are refused as not run
 * @param strayBytes the share of answers with other bytes before or after them
 * @param interimHeads the share of answers with an interim head before them
 */
public record StutterSettings(double copies, List<CopyForm> forms, double cuts, double errors, double refusals,
		double strayBytes, double interimHeads) {

	/**
	 * What is written of a copy.
	 */
	public enum CopyForm {

		/** The whole answer. */
		WHOLE,

		/** A part of the head. */
		CUT_IN_HEAD,

		/** The head and a part of the body. */
		CUT_IN_BODY

	}

}
