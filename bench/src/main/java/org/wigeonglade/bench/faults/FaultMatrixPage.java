package org.wigeonglade.bench.faults;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Writes the results of a run as a Markdown page.
 */
final class FaultMatrixPage {

	private FaultMatrixPage() {
	}

	static String write(List<CellResult> results, List<FaultCell> skipped) {
		long passed = results.stream().filter(CellResult::isPassed).count();
		StringBuilder page = new StringBuilder("# Fault matrix\n\n");
		page.append("Written by a run of the fault matrix; do not edit. Each cell runs a small fleet with concurrent "
				+ "clients, injects the fault when the step is reached, and judges the whole history by the checkers "
				+ "of P1 to P9. A cell also fails when its step is not reached or a job does not end.\n\n");
		page.append(results.size())
			.append(" cells run, ")
			.append(passed)
			.append(" passed, ")
			.append(results.size() - passed)
			.append(" failed, ")
			.append(skipped.size())
			.append(" not applicable.\n\n");
		appendSingles(page, results, skipped);
		appendPairs(page, results);
		appendFailures(page, results);
		if (!skipped.isEmpty()) {
			page.append("\nNot applicable: ").append(skipped.get(0).notApplicable()).append(".\n");
		}
		return page.toString();
	}

	private static void appendSingles(StringBuilder page, List<CellResult> results, List<FaultCell> skipped) {
		Map<FaultKind, Map<FlowStep, String>> table = new TreeMap<>();
		results.stream()
			.filter((result) -> result.cell().faults().size() == 1)
			.forEach((result) -> table.computeIfAbsent(result.cell().faults().get(0), (ignored) -> new TreeMap<>())
				.put(result.cell().step(), (result.isPassed()) ? "pass" : "FAIL"));
		skipped.forEach((cell) -> table.computeIfAbsent(cell.faults().get(0), (ignored) -> new TreeMap<>())
			.put(cell.step(), "n/a"));
		page.append("| fault |");
		for (FlowStep step : FlowStep.values()) {
			page.append(' ').append(step.getText()).append(" |");
		}
		page.append("\n|").append(" --- |".repeat(FlowStep.values().length + 1)).append('\n');
		table.forEach((fault, steps) -> {
			page.append("| ").append(fault.getText()).append(" |");
			for (FlowStep step : FlowStep.values()) {
				page.append(' ').append(steps.getOrDefault(step, "not run")).append(" |");
			}
			page.append('\n');
		});
	}

	private static void appendPairs(StringBuilder page, List<CellResult> results) {
		List<CellResult> pairs = results.stream().filter((result) -> result.cell().faults().size() == 2).toList();
		if (pairs.isEmpty()) {
			page.append("\nPairs of faults were not run.\n");
			return;
		}
		page.append("\n| pair | result |\n| --- | --- |\n");
		pairs.forEach((result) -> page.append("| ")
			.append(result.cell().getText())
			.append(" | ")
			.append((result.isPassed()) ? "pass" : "FAIL")
			.append(" |\n"));
	}

	private static void appendFailures(StringBuilder page, List<CellResult> results) {
		String failures = results.stream()
			.filter((result) -> !result.isPassed())
			.map((result) -> "- " + result.cell().getText() + ", seed " + result.cell().seed() + ": "
					+ ((result.reached()) ? "" : "the step was not reached. ")
					+ result.failures().stream().limit(2).collect(Collectors.joining("; ")) + "\n")
			.collect(Collectors.joining());
		if (!failures.isEmpty()) {
			page.append("\nFailed cells:\n\n").append(failures);
		}
	}

}
