package org.wigeonglade.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import me.tongfei.progressbar.ProgressBar;
import org.wigeonglade.bench.capacity.CapacityBench;
import org.wigeonglade.bench.capacity.Slope;
import org.wigeonglade.bench.load.LoadComparison;
import org.wigeonglade.bench.load.LoadReportFiles;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Measures the system on this machine.
 */
@Command(name = "bench", mixinStandardHelpOptions = true,
		description = "Measures the system against its stand-ins on this machine, on loopback.",
		subcommands = { BenchCommand.Capacity.class, BenchCommand.Compare.class, BenchBatchCommand.class })
final class BenchCommand implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	/**
	 * Takes the slopes of the capacity page.
	 */
	@Command(name = "capacity", mixinStandardHelpOptions = true,
			description = "Takes the slopes of docs/CAPACITY.md again, in about two minutes.")
	static final class Capacity implements Callable<Integer> {

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			List<Slope> slopes;
			try (ProgressBar bar = this.console.openProgress("capacity", CapacityBench.SLOPES)) {
				slopes = CapacityBench.run((name) -> bar.step());
			}
			if (this.console.isJson()) {
				JsonArray list = new JsonArray();
				slopes.forEach((slope) -> list.add(describe(slope)));
				this.console.printJson(new JsonObject().put("slopes", list));
				return ExitCode.SUCCESS;
			}
			this.console.printf("%-24s %14s %14s %7s  %s", "slope", "per unit", "at size 0", "fit", "units");
			for (Slope slope : slopes) {
				this.console.printf("%-24s %14.3f %14.1f %7.4f  %s per %s", slope.name(), slope.perUnit(), slope.base(),
						slope.fit(), slope.valueUnit(), slope.sizeUnit());
			}
			return ExitCode.SUCCESS;
		}

		private static JsonObject describe(Slope slope) {
			JsonArray points = new JsonArray();
			slope.points().forEach((point) -> points.add(new JsonArray().add(point.size()).add(point.value())));
			return new JsonObject().put("name", slope.name())
				.put("sizeUnit", slope.sizeUnit())
				.put("valueUnit", slope.valueUnit())
				.put("points", points)
				.put("perUnit", slope.perUnit())
				.put("base", slope.base())
				.put("fit", slope.fit());
		}

	}

	/**
	 * Compares two reports.
	 */
	@Command(name = "compare", mixinStandardHelpOptions = true,
			description = "Compares the figures of two reports and marks what lies outside their spread.")
	static final class Compare implements Callable<Integer> {

		@Parameters(index = "0", paramLabel = "BEFORE", description = "JSON report of the earlier runs.")
		private Path before;

		@Parameters(index = "1", paramLabel = "AFTER", description = "JSON report of the later runs.")
		private Path after;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			List<LoadComparison.Row> rows = LoadComparison.compare(LoadReportFiles.read(this.before),
					LoadReportFiles.read(this.after));
			if (!this.console.isJson()) {
				this.console.println(LoadComparison.format(rows).stripTrailing());
				return ExitCode.SUCCESS;
			}
			JsonArray list = new JsonArray();
			rows.forEach((row) -> list.add(new JsonObject().put("figure", row.name())
				.put("before", row.before().median())
				.put("after", row.after().median())
				.put("changePercent", row.changePercent())
				.put("outsideSpread", row.isOutsideSpread())));
			this.console.printJson(new JsonObject().put("figures", list));
			return ExitCode.SUCCESS;
		}

	}

}
