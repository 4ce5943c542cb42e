package org.wigeonglade.bench.faults;

import java.util.List;

/**
 * Result of one cell.
 *
 * @param cell the cell
 * @param reached whether the step was reached and the faults were injected
 * @param failures what went wrong, empty if the cell passed
 */
public record CellResult(FaultCell cell, boolean reached, List<String> failures) {

	/**
	 * Creates the result with a copy of the failures.
	 */
	public CellResult {
		failures = List.copyOf(failures);
	}

	/**
	 * Returns whether the cell passed.
	 * @return true if the step was reached and every promise held
	 */
	public boolean isPassed() {
		return this.reached && this.failures.isEmpty();
	}

}
