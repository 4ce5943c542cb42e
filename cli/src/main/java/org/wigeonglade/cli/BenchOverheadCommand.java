package org.wigeonglade.cli;

import java.util.concurrent.Callable;

import org.wigeonglade.bench.overhead.OverheadBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures what an entry host adds to a request.
 */
@Command(name = "overhead", mixinStandardHelpOptions = true,
		description = "Measures the latency that an entry host adds and its requests/s per core; ends with code 1 if "
				+ "the target was missed.")
final class BenchOverheadCommand implements Callable<Integer> {

	@Mixin
	private Console console;

	@Option(names = "--rate", paramLabel = "N", defaultValue = "50",
			description = "Requests per second through the host (default: ${DEFAULT-VALUE}).")
	private int rate;

	@Option(names = "--seconds", paramLabel = "S", defaultValue = "10",
			description = "Length of the comparison (default: ${DEFAULT-VALUE}).")
	private int seconds;

	@Override
	public Integer call() {
		return this.console.printResult(OverheadBench.of(this.rate, this.seconds).run());
	}

}
