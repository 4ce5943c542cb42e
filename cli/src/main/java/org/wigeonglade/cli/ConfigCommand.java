package org.wigeonglade.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Checks and publishes configurations.
 */
@Command(name = "config", mixinStandardHelpOptions = true, description = "Checks and publishes configurations.",
		subcommands = { ConfigCommand.Check.class, ConfigCommand.Publish.class, ConfigCommand.Show.class,
				ConfigCommand.History.class })
final class ConfigCommand implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	/**
	 * Checks files without sending them.
	 */
	@Command(name = "check", mixinStandardHelpOptions = true,
			description = "Checks a host settings file or a fleet configuration; sends nothing.")
	static final class Check implements Callable<Integer> {

		@Option(names = "--host", description = "The files are host settings (default: fleet configurations).")
		private boolean host;

		@Parameters(arity = "1..*", paramLabel = "FILE", description = "The files to check.")
		private List<Path> files;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			SettingsReader reader = SettingsReader.create();
			for (Path file : this.files) {
				String summary = (this.host) ? summary(reader.readHostSettings(file))
						: summary(reader.readFleetConfiguration(file));
				if (this.console.isJson()) {
					this.console.printJson(new JsonObject().put("file", file.toString()).put("valid", true));
				}
				else {
					this.console.println(file + " is valid: " + summary);
				}
			}
			return ExitCode.SUCCESS;
		}

		private static String summary(HostSettings settings) {
			return "host " + settings.getHost() + " in " + settings.getFailureDomain();
		}

		private static String summary(FleetConfiguration configuration) {
			return configuration.getProfiles().size() + " profiles, " + configuration.getServices().size()
					+ " services, " + configuration.getWorkspaces().size() + " workspaces";
		}

	}

	/**
	 * Publishes a configuration.
	 */
	@Command(name = "publish", mixinStandardHelpOptions = true,
			description = "Publishes a fleet configuration. Ends with code 4 if another change came first.")
	static final class Publish implements Callable<Integer> {

		@Parameters(paramLabel = "FILE", description = "The fleet configuration.")
		private Path file;

		@Option(names = "--base", paramLabel = "VERSION",
				description = "Version that the file was made from (default: the version in effect now).")
		private Long base;

		@Option(names = "--author", required = true, paramLabel = "NAME", description = "Who publishes it.")
		private String author;

		@Option(names = "--reason", required = true, paramLabel = "TEXT", description = "Why, in one sentence.")
		private String reason;

		@Mixin
		private OperatorOptions operator;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			SettingsReader reader = SettingsReader.create();
			byte[] body = reader.write(reader.readFleetConfiguration(this.file));
			JsonObject answer;
			try (HostClient client = this.operator.connect()) {
				long baseVersion = (this.base != null) ? this.base
						: client.getJson("/operator/config", Map.of()).getLong("version");
				answer = client.postJson("/operator/config",
						Map.of("base", Long.toString(baseVersion), "author", this.author, "reason", this.reason),
						Buffer.buffer(body));
			}
			if (this.console.isJson()) {
				this.console.printJson(answer);
			}
			else {
				this.console.println("Configuration version " + answer.getLong("version") + " is accepted.");
			}
			return ExitCode.SUCCESS;
		}

	}

	/**
	 * Shows the configuration in effect.
	 */
	@Command(name = "show", mixinStandardHelpOptions = true,
			description = "Shows the configuration in effect on a host.")
	static final class Show implements Callable<Integer> {

		@Mixin
		private OperatorOptions operator;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			JsonObject answer = this.operator.getJson("/operator/config", Map.of());
			if (this.console.isJson()) {
				this.console.printJson(answer);
				return ExitCode.SUCCESS;
			}
			this.console.println("Configuration version " + answer.getLong("version"));
			this.console.printJson(answer.getJsonObject("configuration"));
			return ExitCode.SUCCESS;
		}

	}

	/**
	 * Lists the accepted changes.
	 */
	@Command(name = "history", mixinStandardHelpOptions = true, description = "Lists the accepted changes.")
	static final class History implements Callable<Integer> {

		@Mixin
		private OperatorOptions operator;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			JsonObject answer = this.operator.getJson("/operator/config/history", Map.of());
			if (this.console.isJson()) {
				this.console.printJson(answer);
				return ExitCode.SUCCESS;
			}
			JsonArray changes = answer.getJsonArray("changes");
			for (int i = 0; i < changes.size(); i++) {
				JsonObject change = changes.getJsonObject(i);
				this.console.printf("%4d  %s  %-16s %s", change.getLong("version"), change.getString("time"),
						change.getString("author"), change.getString("reason"));
			}
			return ExitCode.SUCCESS;
		}

	}

}
