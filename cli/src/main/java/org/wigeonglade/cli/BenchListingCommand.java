package org.wigeonglade.cli;

import java.util.concurrent.Callable;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.bench.listing.ListingBench;
import org.wigeonglade.bench.listing.ListingOptions;
import org.wigeonglade.core.logging.LogSetup;
import org.wigeonglade.schema.generated.settings.LogSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures how long hosts take to list the stored jobs.
 */
@Command(name = "listing", mixinStandardHelpOptions = true,
		description = "Measures the time until hosts that start together give back results of stored jobs, and what "
				+ "they read of the store; always prints JSON.")
final class BenchListingCommand implements Callable<Integer> {

	@Mixin
	private Console console;

	@Option(names = "--hosts", paramLabel = "N", defaultValue = "3",
			description = "Hosts that start at the same moment (default: ${DEFAULT-VALUE}).")
	private int hosts;

	@Option(names = "--rate", paramLabel = "N", defaultValue = "4.15",
			description = "Jobs per second (default: ${DEFAULT-VALUE}).")
	private double rate;

	@Option(names = "--seconds", paramLabel = "S", defaultValue = "40",
			description = "Time for which jobs were stored before the start (default: ${DEFAULT-VALUE}).")
	private int seconds;

	@Option(names = "--items", paramLabel = "N", defaultValue = "10",
			description = "Items of a job, 1 to 200 (default: ${DEFAULT-VALUE}).")
	private int items;

	@Option(names = "--body-bytes", paramLabel = "N", defaultValue = "350",
			description = "Size of the body of an item (default: ${DEFAULT-VALUE}).")
	private int bodyBytes;

	@Option(names = "--output-bytes", paramLabel = "N", defaultValue = "11520",
			description = "Size of the output of an item (default: ${DEFAULT-VALUE}).")
	private int outputBytes;

	@Option(names = "--link-mbit", paramLabel = "N", defaultValue = "30",
			description = "Rate of the way of each host to the store in Mbit/s, 0 for no limit "
					+ "(default: ${DEFAULT-VALUE}).")
	private double linkMegabits;

	@Option(names = "--store-mb", paramLabel = "N", defaultValue = "0",
			description = "Rate of all reads of the store together in MB/s, 0 for no limit "
					+ "(default: ${DEFAULT-VALUE}).")
	private double storeMegabytes;

	@Option(names = "--limit", paramLabel = "S", defaultValue = "120",
			description = "Time in seconds after which the measurement ends (default: ${DEFAULT-VALUE}).")
	private int limitSeconds;

	@Override
	public Integer call() throws InterruptedException {
		LogSetup.apply(LogSettings.Level.ERROR, LogSettings.Format.TEXT);
		ListingOptions options = new ListingOptions(this.hosts, this.rate, this.seconds, this.items, this.bodyBytes,
				this.outputBytes, this.linkMegabits, this.storeMegabytes, this.limitSeconds);
		JsonObject report = ListingBench.run(options);
		this.console.printJson(report);
		return (report.getInteger("hosts_with_results") == this.hosts) ? ExitCode.SUCCESS : ExitCode.FAILED;
	}

}
