package org.wigeonglade.cli;

import java.io.PrintWriter;
import java.net.BindException;
import java.util.Map;
import java.util.stream.Collectors;

import com.google.common.base.Throwables;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.logging.LogSetup;
import org.wigeonglade.schema.generated.settings.LogSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the system.
 */
@Command(name = "wigeonglade", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "Serves online and batch inference on one fleet.",
		subcommands = { EntryCommand.class, DemoCommand.class, BatchCommand.class, ConfigCommand.class,
				ProfileCommand.class, ExplainCommand.class, LogsCommand.class, ItemsCommand.class, StatusCommand.class,
				StandInCommand.class, BenchCommand.class, ModelCommand.class, CatalogueCommand.class },
		exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:success", "1:a promise was broken, a check failed, or a request was turned down",
				"2:wrong usage", "3:settings or configuration not valid", "4:conflict with another change",
				"5:host or platform not reachable, or no capacity now", "70:internal failure",
				"130:stopped by a second signal (entry)" })
public final class Main implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Runs the command line and ends the process with its exit code.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		int code = commandLine().execute(args);
		System.exit(code);
	}

	static CommandLine commandLine() {
		LogSetup.apply(LogSettings.Level.WARNING, LogSettings.Format.TEXT);
		CommandLine line = new CommandLine(new Main());
		shareExitCodes(line, line.getCommandSpec().usageMessage().exitCodeList());
		return line.setCaseInsensitiveEnumValuesAllowed(true)
			.setExecutionExceptionHandler((ex, command, result) -> report(ex, command.getErr()))
			.setParameterExceptionHandler((ex, args) -> reportUsage(ex));
	}

	private static void shareExitCodes(CommandLine line, Map<String, String> codes) {
		for (CommandLine child : line.getSubcommands().values()) {
			child.getCommandSpec().usageMessage().exitCodeListHeading("%nExit codes:%n").exitCodeList(codes);
			shareExitCodes(child, codes);
		}
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	private static int reportUsage(CommandLine.ParameterException failure) {
		CommandLine command = failure.getCommandLine();
		PrintWriter err = command.getErr();
		err.println("wigeonglade: WG-1003 " + failure.getMessage());
		if (!CommandLine.UnmatchedArgumentException.printSuggestions(failure, err)) {
			String name = command.getCommandSpec().qualifiedName();
			if (!command.getSubcommands().isEmpty()) {
				err.println("Commands: " + command.getCommandSpec()
					.subcommands()
					.entrySet()
					.stream()
					.filter((entry) -> !entry.getValue().getCommandSpec().usageMessage().hidden())
					.map(Map.Entry::getKey)
					.collect(Collectors.joining(", ")));
			}
			err.println("Try '" + name + " --help'.");
		}
		err.flush();
		return ExitCode.USAGE;
	}

	private static int report(Exception failure, PrintWriter err) {
		BindException taken = Throwables.getCausalChain(failure)
			.stream()
			.filter(BindException.class::isInstance)
			.map(BindException.class::cast)
			.findFirst()
			.orElse(null);
		if (taken != null) {
			err.println("wigeonglade: WG-1003 cannot listen on the address: " + taken.getMessage());
			err.flush();
			return ExitCode.USAGE;
		}
		if (failure instanceof WigeongladeException known) {
			err.println("wigeonglade: " + known.getCode().getCode() + " " + known.getMessage());
			err.flush();
			return ExitCode.of(known.getCode());
		}
		err.println("wigeonglade: WG-9001 unexpected failure: " + failure);
		failure.printStackTrace(err);
		err.flush();
		return ExitCode.INTERNAL;
	}

}
