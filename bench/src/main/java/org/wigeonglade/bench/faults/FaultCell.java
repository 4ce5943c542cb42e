package org.wigeonglade.bench.faults;

import java.util.List;
import java.util.stream.Collectors;

/**
 * One cell of the matrix: faults injected together at a step.
 *
 * @param faults the faults, one or two
 * @param step the step
 * @param seed the seed of all choices
 */
public record FaultCell(List<FaultKind> faults, FlowStep step, long seed) {

	/**
	 * Creates the cell with a copy of the faults.
	 */
	public FaultCell {
		faults = List.copyOf(faults);
	}

	/**
	 * Returns the name in reports.
	 * @return such as {@code runner-lost at dispatch}
	 */
	public String getText() {
		return this.faults.stream().map(FaultKind::getText).collect(Collectors.joining(" + ")) + " at "
				+ this.step.getText();
	}

	/**
	 * Returns why the cell is not run.
	 * @return the reason, empty if it is run
	 */
	public String notApplicable() {
		if (this.faults.stream().allMatch(FaultKind::isWholeRun) && this.step != FlowStep.ACCEPT) {
			return "the fault lasts for the whole run, which passes every step; it is run once, under accept";
		}
		return "";
	}

}
