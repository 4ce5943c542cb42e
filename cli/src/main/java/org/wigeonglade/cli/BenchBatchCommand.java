package org.wigeonglade.cli;

import java.util.concurrent.Callable;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.bench.batch.BatchBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures the batch runtime.
 */
@Command(name = "batch", mixinStandardHelpOptions = true,
		description = "Measures batch throughput, appends, takeover and rebuild; always prints JSON.")
final class BenchBatchCommand implements Callable<Integer> {

	private static final int MIN_ITEMS = 100;

	private static final int MAX_ITEMS = 150_000;

	@Mixin
	private Console console;

	@Option(names = "--items", defaultValue = "20000",
			description = "Items of the job, 100 to 150000 (${DEFAULT-VALUE}).")
	private int items;

	@Option(names = "--no-rebuild", description = "Leaves out the measurement of rebuilds.")
	private boolean withoutRebuild;

	@Override
	public Integer call() {
		int bounded = Math.max(MIN_ITEMS, Math.min(MAX_ITEMS, this.items));
		JsonObject result = BatchBench.run(bounded, !this.withoutRebuild);
		this.console.printJson(result);
		return result.getBoolean("ok") ? ExitCode.SUCCESS : ExitCode.FAILED;
	}

}
