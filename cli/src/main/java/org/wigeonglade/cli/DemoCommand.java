package org.wigeonglade.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.wigeonglade.bench.demo.Demo;
import org.wigeonglade.bench.demo.MachinesDemo;
import org.wigeonglade.core.logging.LogSetup;
import org.wigeonglade.schema.generated.settings.LogSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the demo.
 */
@Command(name = "demo", mixinStandardHelpOptions = true,
		description = { "Runs a whole fleet against stand-ins on loopback in this process, below 40 s.", "",
				"Online requests and a batch job run side by side while an entry host and a runner are lost. "
						+ "Ends with code 1 if a promise was broken." })
final class DemoCommand implements Callable<Integer> {

	@Option(names = "--deployment", paramLabel = "NAME", defaultValue = "muistopuu",
			description = "muistopuu or plata (default: ${DEFAULT-VALUE}).")
	private String deployment;

	@Option(names = "--job", paramLabel = "FILE", description = "Job file (default: a generated job).")
	private Path job;

	@Option(names = "--results", paramLabel = "FILE", description = "Write the results of the job to this file.")
	private Path results;

	@Option(names = "--online", paramLabel = "N", defaultValue = "300",
			description = "Number of online requests (default: ${DEFAULT-VALUE}).")
	private int online;

	@Option(names = "--seconds", paramLabel = "S", defaultValue = "15",
			description = "Time over which they arrive, 1 to 22 (default: ${DEFAULT-VALUE}).")
	private int seconds;

	@Option(names = "--seed", paramLabel = "N", defaultValue = "1",
			description = "Seed of arrivals and losses (default: ${DEFAULT-VALUE}).")
	private long seed;

	@Option(names = "--machines",
			description = "Run gateway hosts of the users' machines against stand-ins of their platform instead.")
	private boolean machines;

	@Option(names = "--json", description = "Write one JSON object as the last line.")
	private boolean json;

	@Option(names = { "-v", "--verbose" }, description = "Show the warnings of the hosts, which report the losses.")
	private boolean verbose;

	@Override
	public Integer call() {
		LogSetup.apply((this.verbose) ? LogSettings.Level.WARNING : LogSettings.Level.ERROR, LogSettings.Format.TEXT);
		if (this.machines) {
			return new MachinesDemo().run(System.out);
		}
		return Demo.builder()
			.deployment(this.deployment)
			.job(this.job)
			.results(this.results)
			.online(this.online)
			.seconds(this.seconds)
			.seed(this.seed)
			.json(this.json)
			.build()
			.run(System.out);
	}

}
