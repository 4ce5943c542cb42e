package org.wigeonglade.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Shows profiles in plain words and with their exact settings.
 */
@Command(name = "profile", mixinStandardHelpOptions = true, description = "Shows profiles of work.",
		subcommands = { ProfileCommand.ListAll.class, ProfileCommand.Show.class })
final class ProfileCommand implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	private static List<String> servicesOf(FleetConfiguration configuration, String profile) {
		return configuration.getServices()
			.stream()
			.filter((service) -> profile.equals(service.getProfile()) || profile.equals(service.getBatchProfile()))
			.map(ServiceConfiguration::getName)
			.toList();
	}

	/**
	 * Options that say where profiles are read from.
	 */
	static final class Source {

		@Option(names = "--file", paramLabel = "FILE",
				description = "Read this fleet configuration instead of the one in effect.")
		private Path file;

		@Mixin
		private OperatorOptions operator;

		FleetConfiguration read() {
			SettingsReader reader = SettingsReader.create();
			if (this.file != null) {
				return reader.readFleetConfiguration(this.file);
			}
			try (HostClient client = this.operator.connect()) {
				JsonObject answer = client.getJson("/operator/config", Map.of());
				return reader.readFleetConfiguration(answer.getJsonObject("configuration").toBuffer().getBytes());
			}
		}

	}

	/**
	 * Lists the profiles.
	 */
	@Command(name = "list", mixinStandardHelpOptions = true, description = "Lists the profiles with their plain words.")
	static final class ListAll implements Callable<Integer> {

		@Mixin
		private Source source;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			FleetConfiguration configuration = this.source.read();
			JsonArray list = new JsonArray();
			for (Profile profile : configuration.getProfiles()) {
				List<String> services = servicesOf(configuration, profile.getName());
				list.add(new JsonObject().put("name", profile.getName())
					.put("words", profile.getWords())
					.put("services", new JsonArray(services)));
				if (!this.console.isJson()) {
					this.console.printf("%s (%s)%n  %s", profile.getName(),
							(services.isEmpty()) ? "no service" : String.join(", ", services), profile.getWords());
				}
			}
			if (this.console.isJson()) {
				this.console.printJson(new JsonObject().put("profiles", list));
			}
			return ExitCode.SUCCESS;
		}

	}

	/**
	 * Shows one profile.
	 */
	@Command(name = "show", mixinStandardHelpOptions = true,
			description = "Shows the plain words and the exact settings of a profile.")
	static final class Show implements Callable<Integer> {

		@Parameters(paramLabel = "NAME", description = "The profile.")
		private String name;

		@Mixin
		private Source source;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			FleetConfiguration configuration = this.source.read();
			Profile profile = configuration.getProfiles()
				.stream()
				.filter((candidate) -> candidate.getName().equals(this.name))
				.findFirst()
				.orElseThrow(() -> new InvalidRequestException(ErrorCode.NOT_FOUND,
						"there is no profile '" + this.name + "'; the profiles are "
								+ configuration.getProfiles().stream().map(Profile::getName).toList()));
			JsonObject settings = new JsonObject(new String(SettingsReader.create().write(profile)));
			if (this.console.isJson()) {
				this.console.printJson(settings);
				return ExitCode.SUCCESS;
			}
			this.console.println(profile.getWords());
			this.console.println("");
			this.console.println("Services: " + String.join(", ", servicesOf(configuration, this.name)));
			this.console.println("Exact settings (times in milliseconds):");
			settings.forEach((entry) -> {
				if (!entry.getKey().equals("words")) {
					this.console.printf("  %-20s %s", entry.getKey(), entry.getValue());
				}
			});
			return ExitCode.SUCCESS;
		}

	}

}
