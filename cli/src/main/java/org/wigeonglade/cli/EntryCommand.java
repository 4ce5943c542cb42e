package org.wigeonglade.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.wigeonglade.core.logging.LogSetup;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.entry.host.EntryHostBuilder;
import org.wigeonglade.schema.generated.settings.HostSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs one entry host until it is stopped.
 */
@Command(name = "entry", mixinStandardHelpOptions = true, description = { "Runs one entry host until SIGTERM.", "",
		"The first SIGTERM stops it as planned: it takes no new work, finishes the requests in progress within the "
				+ "drain limit and ends with code 0. A second SIGTERM ends it at once with code 130." })
final class EntryCommand implements Callable<Integer> {

	/** Time that the immediate stop may take before the process ends anyway. */
	private static final long IMMEDIATE_STOP_MILLIS = 500;

	@Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings of the host.")
	private Path settings;

	@Option(names = "--configuration", paramLabel = "FILE",
			description = "Fleet configuration in effect until one is published.")
	private Path configuration;

	@Override
	public Integer call() {
		SettingsReader reader = SettingsReader.create();
		HostSettings read = reader.readHostSettings(this.settings);
		LogSetup.apply(read.getLog().getLevel(), read.getLog().getFormat());
		EntryHostBuilder builder = EntryHost.builder(read);
		if (this.configuration != null) {
			builder.withInitialConfiguration(reader.readFleetConfiguration(this.configuration));
		}
		EntryHost host = builder.build();
		host.start();
		return StopSignals.await(() -> {
			host.stop();
			return ExitCode.SUCCESS;
		}, () -> interrupt(host));
	}

	private static void interrupt(EntryHost host) {
		Thread stop = Thread.ofPlatform().daemon().name("kill").start(host::kill);
		try {
			stop.join(IMMEDIATE_STOP_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
