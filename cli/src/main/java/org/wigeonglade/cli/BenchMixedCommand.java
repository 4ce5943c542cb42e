package org.wigeonglade.cli;

import java.time.Duration;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.bench.demo.Deployment;
import org.wigeonglade.bench.mixed.MixedComparison;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Compares online work alone, batch work alone and both together.
 */
@Command(name = "mixed", mixinStandardHelpOptions = true,
		description = "Measures online work alone, batch work alone and both in one run, and compares choices of "
				+ "runners; ends with code 1 if a target was missed.")
final class BenchMixedCommand implements Callable<Integer> {

	@Mixin
	private Console console;

	@Option(names = "--deployment", paramLabel = "NAME", defaultValue = "muistopuu",
			description = "muistopuu or plata (default: ${DEFAULT-VALUE}).")
	private String deployment;

	@Option(names = "--rate", paramLabel = "N", defaultValue = "40",
			description = "Online requests per second outside of bursts (default: ${DEFAULT-VALUE}).")
	private double rate;

	@Option(names = "--seconds", paramLabel = "S", defaultValue = "8",
			description = "Length of each part (default: ${DEFAULT-VALUE}).")
	private int seconds;

	@Option(names = "--seed", paramLabel = "N", defaultValue = "1",
			description = "Seed of arrivals and prompts (default: ${DEFAULT-VALUE}).")
	private long seed;

	@Override
	public Integer call() {
		JsonObject result = MixedComparison
			.of(Deployment.of(this.deployment), this.rate, Duration.ofSeconds(this.seconds), this.seed)
			.run();
		return this.console.printResult(result);
	}

}
