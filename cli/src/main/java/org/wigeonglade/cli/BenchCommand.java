package org.wigeonglade.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import me.tongfei.progressbar.ProgressBar;
import org.wigeonglade.bench.capacity.CapacityBench;
import org.wigeonglade.bench.capacity.Slope;
import org.wigeonglade.bench.demo.Deployment;
import org.wigeonglade.bench.faults.FaultCell;
import org.wigeonglade.bench.faults.FaultMatrix;
import org.wigeonglade.bench.fleet.FleetBench;
import org.wigeonglade.bench.fleet.FleetOptions;
import org.wigeonglade.bench.load.LoadComparison;
import org.wigeonglade.bench.load.LoadPlan;
import org.wigeonglade.bench.load.LoadReportFiles;
import org.wigeonglade.bench.mixed.MixedBench;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.logging.LogSetup;
import org.wigeonglade.schema.generated.settings.LogSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Measures the system on this machine.
 */
@Command(name = "bench", mixinStandardHelpOptions = true,
		description = "Measures the system against its stand-ins on this machine, on loopback.",
		subcommands = { BenchMixedCommand.class, BenchOverheadCommand.class, BenchCommand.Report.class,
				BenchCommand.Fleet.class, BenchCommand.Faults.class, BenchCommand.Capacity.class,
				BenchCommand.Compare.class, BenchBatchCommand.class, BenchListingCommand.class })
final class BenchCommand implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	/**
	 * Writes reports of repeated runs with and without batch work.
	 */
	@Command(name = "report", mixinStandardHelpOptions = true,
			description = "Repeats online runs without and with batch work and writes JSON, CSV and HTML reports.")
	static final class Report implements Callable<Integer> {

		@Option(names = "--deployment", paramLabel = "NAME", defaultValue = "muistopuu",
				description = "muistopuu or plata (default: ${DEFAULT-VALUE}).")
		private String deployment;

		@Option(names = "--rate", paramLabel = "N", defaultValue = "40",
				description = "Online requests per second (default: ${DEFAULT-VALUE}).")
		private double rate;

		@Option(names = "--seconds", paramLabel = "S", defaultValue = "10",
				description = "Length of one run (default: ${DEFAULT-VALUE}).")
		private int seconds;

		@Option(names = "--runs", paramLabel = "N", defaultValue = "3",
				description = "Runs of each kind (default: ${DEFAULT-VALUE}).")
		private int runs;

		@Option(names = "--items", paramLabel = "N", defaultValue = "20000",
				description = "Items of the job, more than can finish (default: ${DEFAULT-VALUE}).")
		private int items;

		@Option(names = "--seed", paramLabel = "N", defaultValue = "1",
				description = "Seed (default: ${DEFAULT-VALUE}).")
		private long seed;

		@Option(names = "--output", paramLabel = "FOLDER", defaultValue = "out/bench",
				description = "Folder of the reports (default: ${DEFAULT-VALUE}).")
		private Path output;

		@Override
		public Integer call() {
			LoadPlan plan = LoadPlan.steady("mixed", this.seed, this.rate, Duration.ofSeconds(this.seconds))
				.withBursts(Duration.ofSeconds(5), Duration.ofSeconds(1), 3);
			MixedBench.of(Deployment.of(this.deployment), plan, this.runs, this.items, this.output).run(System.out);
			return ExitCode.SUCCESS;
		}

	}

	/**
	 * Measures the cost of control over the number of hosts.
	 */
	@Command(name = "fleet", mixinStandardHelpOptions = true,
			description = "Measures the cost of control and the spread of configurations over the number of hosts.")
	static final class Fleet implements Callable<Integer> {

		@Option(names = "--sizes", split = ",", paramLabel = "N",
				description = "Numbers of hosts (default: 6,12,24,44).")
		private List<Integer> sizes = FleetOptions.defaults().sizes();

		@Option(names = "--seconds", paramLabel = "S", defaultValue = "10",
				description = "Time over which the cost is measured (default: ${DEFAULT-VALUE}).")
		private int seconds;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			Map<String, Object> report = FleetBench
				.run(FleetOptions.defaults().withSizes(this.sizes).withIdle(Duration.ofSeconds(this.seconds)));
			return this.console.printResult(new JsonObject(Json.encode(report)));
		}

	}

	/**
	 * Runs the fault matrix.
	 */
	@Command(name = "faults", mixinStandardHelpOptions = true,
			description = "Runs faults at every step of a job and checks the promises; ends with code 1 if one was broken.")
	static final class Faults implements Callable<Integer> {

		@Option(names = "--cells", paramLabel = "SET", defaultValue = "all",
				description = "all, fast, singles, pairs or the name of one cell, such as "
						+ "'runner-lost at dispatch' (default: ${DEFAULT-VALUE}); all takes about 15 minutes.")
		private String cells;

		@Option(names = "--repeat", paramLabel = "N", defaultValue = "1",
				description = "Runs of each cell, 1 or more (default: ${DEFAULT-VALUE}).")
		private int repeat;

		@Option(names = "--parallel", paramLabel = "N", defaultValue = "2",
				description = "Fleets at once, 1 to 4 (default: ${DEFAULT-VALUE}).")
		private int parallel;

		@Option(names = "--seed", paramLabel = "N", defaultValue = "1",
				description = "Seed (default: ${DEFAULT-VALUE}).")
		private long seed;

		@Option(names = "--histories", paramLabel = "FOLDER", defaultValue = "out/histories",
				description = "Folder of the histories of failed cells (default: ${DEFAULT-VALUE}).")
		private Path histories;

		@Option(names = "--page", paramLabel = "FILE", description = "Write the matrix to this Markdown file.")
		private Path page;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			LogSetup.apply(LogSettings.Level.ERROR, LogSettings.Format.TEXT);
			if (this.repeat < 1) {
				throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
						"--repeat is " + this.repeat + ", but must be 1 or more");
			}
			List<FaultCell> all = Stream
				.concat(FaultMatrix.singles(this.seed).stream(), FaultMatrix.pairs(this.seed).stream())
				.toList();
			List<FaultCell> chosen = switch (this.cells) {
				case "all" -> all;
				case "fast" -> FaultMatrix.fast();
				case "singles" -> FaultMatrix.singles(this.seed);
				case "pairs" -> FaultMatrix.pairs(this.seed);
				default -> all.stream().filter((cell) -> cell.getText().equals(this.cells)).toList();
			};
			if (chosen.isEmpty()) {
				throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
						"--cells is '" + this.cells + "', but must be all, fast, singles, pairs or the name of a cell");
			}
			List<FaultCell> runs = Stream.generate(() -> chosen).limit(this.repeat).flatMap(List::stream).toList();
			return FaultMatrix.of(runs, this.parallel, this.histories, this.page)
				.run(System.out, this.console.isJson());
		}

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
