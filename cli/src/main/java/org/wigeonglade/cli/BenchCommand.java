package org.wigeonglade.cli;

import java.util.List;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import me.tongfei.progressbar.ProgressBar;
import org.wigeonglade.bench.capacity.CapacityBench;
import org.wigeonglade.bench.capacity.Slope;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Measures the system on this machine.
 */
@Command(name = "bench", mixinStandardHelpOptions = true,
		description = "Measures the system against its stand-ins on this machine, on loopback.",
		subcommands = { BenchCommand.Capacity.class, BenchBatchCommand.class })
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

}
