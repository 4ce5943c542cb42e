package org.wigeonglade.bench.faults;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against a promise that breaks under a fault, and against a matrix that leaves
 * out faults or steps without saying so.
 */
public class FaultMatrixTests {

	@Test
	void theFastCellsKeepEveryPromise() throws Exception {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		Path histories = Files.createTempDirectory("fault-cells");
		int code = FaultMatrix.of(FaultMatrix.fast(), 2, histories, null)
			.run(new PrintStream(bytes, true, StandardCharsets.UTF_8), true);
		String output = bytes.toString(StandardCharsets.UTF_8);
		Assert.assertEquals(code, FaultMatrix.EXIT_OK, output);
		String[] lines = output.strip().split("\n");
		JsonObject report = new JsonObject(lines[lines.length - 1]);
		Assert.assertTrue(report.getBoolean("ok"));
		Assert.assertEquals(report.getInteger("passed"), Integer.valueOf(FaultMatrix.fast().size()));
	}

	@Test
	void theCellsCoverEveryFaultStepAndPair() {
		List<FaultCell> singles = FaultMatrix.singles(3);
		Assert.assertEquals(singles.size(), FaultKind.values().length * FlowStep.values().length);
		for (FaultKind fault : FaultKind.values()) {
			Assert.assertTrue(
					singles.stream()
						.anyMatch((cell) -> cell.faults().contains(fault) && cell.notApplicable().isEmpty()),
					fault.getText());
		}
		List<FaultCell> pairs = FaultMatrix.pairs(3);
		int kinds = FaultKind.values().length;
		Assert.assertEquals(pairs.size(), kinds * (kinds - 1) / 2);
		Set<FlowStep> steps = EnumSet.noneOf(FlowStep.class);
		pairs.forEach((cell) -> steps.add(cell.step()));
		Assert.assertEquals(steps, EnumSet.allOf(FlowStep.class));
		Assert.assertTrue(pairs.stream().allMatch((cell) -> cell.notApplicable().isEmpty()));
	}

	@Test
	void aCellWhoseStepIsNotReachedFails() {
		FaultCell cell = new FaultCell(List.of(FaultKind.HOST_LOST), FlowStep.CLAIM, 9);
		Assert.assertFalse(new CellResult(cell, false, List.of()).isPassed());
		Assert.assertFalse(new CellResult(cell, true, List.of("P1 broken")).isPassed());
		String page = FaultMatrixPage.write(List.of(new CellResult(cell, false, List.of())), List.of());
		Assert.assertTrue(page.contains("FAIL") && page.contains("seed 9"), page);
	}

}
