package org.wigeonglade.bench.faults;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Runs cells of the matrix and reports them.
 */
public final class FaultMatrix {

	/** Exit code when every cell passed. */
	public static final int EXIT_OK = 0;

	/** Exit code when a cell failed. */
	public static final int EXIT_FAILED = 1;

	private final List<FaultCell> cells;

	private final int parallel;

	private final Path histories;

	private final Path page;

	private FaultMatrix(List<FaultCell> cells, int parallel, Path histories, Path page) {
		this.cells = List.copyOf(cells);
		this.parallel = parallel;
		this.histories = histories;
		this.page = page;
	}

	/**
	 * Returns a matrix.
	 * @param cells the cells to run, not empty
	 * @param parallel the number of fleets at once, 1 to 4
	 * @param histories the folder for histories of failed cells, created if missing
	 * @param page the Markdown page to write, or null for none
	 * @return a matrix, never null
	 */
	public static FaultMatrix of(List<FaultCell> cells, int parallel, Path histories, Path page) {
		return new FaultMatrix(cells, Math.max(1, Math.min(4, parallel)), histories, page);
	}

	/**
	 * Returns every fault at every step.
	 * @param seed the seed of all cells
	 * @return the cells, never null
	 */
	public static List<FaultCell> singles(long seed) {
		List<FaultCell> cells = new ArrayList<>();
		for (FaultKind fault : FaultKind.values()) {
			for (FlowStep step : FlowStep.values()) {
				cells.add(new FaultCell(List.of(fault), step, seed));
			}
		}
		return cells;
	}

	/**
	 * Returns every pair of faults, each at one step that depends on the pair, so that
	 * all steps are met.
	 * @param seed the seed of all cells
	 * @return the cells, never null
	 */
	public static List<FaultCell> pairs(long seed) {
		List<FaultCell> cells = new ArrayList<>();
		FaultKind[] faults = FaultKind.values();
		FlowStep[] steps = FlowStep.values();
		for (int i = 0; i < faults.length; i++) {
			for (int j = i + 1; j < faults.length; j++) {
				boolean wholeRun = faults[i].isWholeRun() && faults[j].isWholeRun();
				FlowStep step = (wholeRun) ? FlowStep.ACCEPT : steps[(i * 7 + j) % steps.length];
				cells.add(new FaultCell(List.of(faults[i], faults[j]), step, seed));
			}
		}
		return cells;
	}

	/**
	 * Returns the fixed subset that runs with every build.
	 * @return the cells, never null
	 */
	public static List<FaultCell> fast() {
		return List.of(new FaultCell(List.of(FaultKind.RUNNER_LOST), FlowStep.DISPATCH, 1),
				new FaultCell(List.of(FaultKind.HOST_LOST), FlowStep.ACKNOWLEDGE, 1),
				new FaultCell(List.of(FaultKind.ANSWER_LOST), FlowStep.ACCEPT, 1),
				new FaultCell(List.of(FaultKind.HOST_LEAVES), FlowStep.STREAM, 1));
	}

	/**
	 * Runs all cells.
	 * @param out receives one line for each failed cell and a summary
	 * @param json whether the last line is one JSON object
	 * @return {@value #EXIT_OK} only if every applicable cell passed
	 */
	public int run(PrintStream out, boolean json) {
		List<CellResult> results = runCells(out);
		List<CellResult> failed = results.stream().filter((result) -> !result.isPassed()).toList();
		List<FaultCell> skipped = this.cells.stream().filter((cell) -> !cell.notApplicable().isEmpty()).toList();
		out.println(results.size() + " cells run, " + (results.size() - failed.size()) + " passed, " + failed.size()
				+ " failed, " + skipped.size() + " not applicable.");
		if (this.page != null) {
			write(FaultMatrixPage.write(results, skipped));
		}
		if (json) {
			out.println(toJson(results, failed, skipped).encode());
		}
		return (failed.isEmpty()) ? EXIT_OK : EXIT_FAILED;
	}

	private List<CellResult> runCells(PrintStream out) {
		List<CellResult> results = new ArrayList<>();
		try (ExecutorService pool = Executors.newFixedThreadPool(this.parallel)) {
			Files.createDirectories(this.histories);
			List<Future<CellResult>> running = new ArrayList<>();
			for (FaultCell cell : this.cells) {
				if (cell.notApplicable().isEmpty()) {
					running.add(pool.submit(() -> CellRun.run(cell, this.histories)));
				}
			}
			for (Future<CellResult> cell : running) {
				CellResult result = cell.get();
				results.add(result);
				if (!result.isPassed()) {
					out.println("failed: " + result.cell().getText() + " (seed " + result.cell().seed() + ") "
							+ reason(result));
				}
			}
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
					"the folder " + this.histories + " cannot be created", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a cell of the fault matrix broke off", ex);
		}
		return results;
	}

	private static String reason(CellResult result) {
		if (!result.reached() && result.failures().isEmpty()) {
			return "the step was not reached";
		}
		return String.join("; ", result.failures().stream().limit(3).toList())
				+ ((result.failures().size() > 3) ? "; and " + (result.failures().size() - 3) + " more" : "");
	}

	private static JsonObject toJson(List<CellResult> results, List<CellResult> failed, List<FaultCell> skipped) {
		JsonArray failures = new JsonArray();
		failed.forEach((result) -> failures.add(new JsonObject().put("cell", result.cell().getText())
			.put("seed", result.cell().seed())
			.put("step", result.cell().step().getText())
			.put("reason", reason(result))));
		JsonArray notApplicable = new JsonArray();
		skipped.forEach((cell) -> notApplicable
			.add(new JsonObject().put("cell", cell.getText()).put("reason", cell.notApplicable())));
		return new JsonObject().put("cells", results.size())
			.put("passed", results.size() - failed.size())
			.put("failed", failures)
			.put("not_applicable", notApplicable)
			.put("ok", failed.isEmpty());
	}

	private void write(String text) {
		try {
			Files.writeString(this.page, text);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, this.page + " cannot be written", ex);
		}
	}

}
