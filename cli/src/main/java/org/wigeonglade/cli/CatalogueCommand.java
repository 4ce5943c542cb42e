package org.wigeonglade.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Writes the catalogue of log events.
 */
@Command(name = "catalogue", hidden = true, mixinStandardHelpOptions = true,
		description = "Writes the catalogue of log events (docs/events.md).")
final class CatalogueCommand implements Callable<Integer> {

	@Mixin
	private Console console;

	@Override
	public Integer call() {
		this.console.println(EventCatalogue.write().stripTrailing());
		return ExitCode.SUCCESS;
	}

}
