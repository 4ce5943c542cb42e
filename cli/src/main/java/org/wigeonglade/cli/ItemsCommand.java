package org.wigeonglade.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Counts the runs of batch items in the logs of several hosts.
 */
@Command(name = "items", mixinStandardHelpOptions = true,
		description = { "Counts the runs of batch items by how they ended, and the output that was thrown away.", "",
				"The log of a host is named after its file, unless each line begins with seconds and a host.", "",
				"Example:", "  wigeonglade items edge-1.log edge-2.log" })
final class ItemsCommand implements Callable<Integer> {

	@Parameters(index = "0..*", arity = "1..*", paramLabel = "LOG", description = "Logs of hosts.")
	private List<Path> files;

	@Mixin
	private Console console;

	@Override
	public Integer call() {
		ItemLog log = new ItemLog();
		LogFiles.read(this.files, StandardCharsets.ISO_8859_1, log::add);
		ItemReport report = new ItemReport(log.replay());
		if (this.console.isJson()) {
			this.console.printJson(report.toJson());
		}
		else {
			report.toLines().forEach(this.console::println);
		}
		return ExitCode.SUCCESS;
	}

}
