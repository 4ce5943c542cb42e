package org.wigeonglade.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.wigeonglade.standins.engine.EngineSettings;
import org.wigeonglade.standins.engine.EngineStandIn;
import org.wigeonglade.standins.hosts.HostListStandIn;
import org.wigeonglade.standins.log.LogStandIn;
import org.wigeonglade.standins.service.ServiceStandIn;
import org.wigeonglade.standins.weight.WeightStoreStandIn;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Starts stand-ins for systems outside this project.
 */
@Command(name = "standin", mixinStandardHelpOptions = true,
		description = "Starts a stand-in for a system outside this project, on loopback, until SIGTERM.",
		subcommands = { StandInCommand.Log.class, StandInCommand.Hosts.class, StandInCommand.Engine.class,
				StandInCommand.Weights.class, StandInCommand.Service.class })
final class StandInCommand implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	private static int serve(Console console, String what, int port, Runnable stop) {
		console.println(what + " listens on http://127.0.0.1:" + port);
		return StopSignals.await(() -> {
			stop.run();
			return ExitCode.SUCCESS;
		}, () -> {
		});
	}

	/**
	 * Options that all stand-ins share.
	 */
	static final class PortOption {

		@Option(names = "--port", paramLabel = "PORT",
				description = "Port; 0 takes a free one (default: ${DEFAULT-VALUE}).", defaultValue = "0")
		private int port;

	}

	/**
	 * Starts a log service.
	 */
	@Command(name = "log", mixinStandardHelpOptions = true, description = "Starts a log service in memory.")
	static final class Log implements Callable<Integer> {

		@Mixin
		private PortOption listen;

		@Mixin
		private Console console;

		@Option(names = "--latency", paramLabel = "MS", defaultValue = "0", description = "Latency of each call.")
		private long latencyMillis;

		@Option(names = "--appends-per-second", paramLabel = "N", defaultValue = "0",
				description = "Rate limit of appends; 0 for none.")
		private int appendsPerSecond;

		@Override
		public Integer call() {
			LogStandIn.Builder builder = LogStandIn.builder().port(this.listen.port).latencyMillis(this.latencyMillis);
			if (this.appendsPerSecond > 0) {
				builder.appendsPerSecond(this.appendsPerSecond);
			}
			LogStandIn log = builder.start();
			return serve(this.console, "log service", log.port(), log::stop);
		}

	}

	/**
	 * Starts a host list.
	 */
	@Command(name = "hosts", mixinStandardHelpOptions = true,
			description = "Starts a host list that follows a file, such as examples/hosts.json.")
	static final class Hosts implements Callable<Integer> {

		@Mixin
		private PortOption listen;

		@Mixin
		private Console console;

		@Option(names = "--file", required = true, paramLabel = "FILE",
				description = "The listed machines; read again on change.")
		private Path file;

		@Option(names = "--lag", paramLabel = "MS", defaultValue = "0", description = "Time until a change is visible.")
		private long lagMillis;

		@Override
		public Integer call() {
			HostListStandIn list = HostListStandIn.start(null, this.listen.port, 0);
			HostListFile.follow(this.file, this.lagMillis, list);
			return serve(this.console, "host list", list.port(), list::stop);
		}

	}

	/**
	 * Starts model engines.
	 */
	@Command(name = "engine", mixinStandardHelpOptions = true,
			description = "Starts one or more model engines on consecutive ports.")
	static final class Engine implements Callable<Integer> {

		@Mixin
		private PortOption listen;

		@Mixin
		private Console console;

		@Option(names = "--count", paramLabel = "N", defaultValue = "1",
				description = "Number of engines (default: 1).")
		private int count;

		@Option(names = "--slots", paramLabel = "N", defaultValue = "8", description = "Streams at once (default: 8).")
		private int slots;

		@Option(names = "--token-ms", paramLabel = "MS", defaultValue = "10",
				description = "Time between two tokens of a stream (default: 10).")
		private int tokenMillis;

		@Option(names = "--crash-marker", paramLabel = "TEXT",
				description = "Text in a prompt that crashes the engine.")
		private String crashMarker;

		@Option(names = "--model", paramLabel = "NAME", description = "Loaded model; none accepts every model.")
		private List<String> models = new ArrayList<>();

		@Override
		public Integer call() {
			List<EngineStandIn> engines = new ArrayList<>();
			for (int i = 0; i < this.count; i++) {
				EngineSettings settings = EngineStandIn.builder()
					.port((this.listen.port == 0) ? 0 : this.listen.port + i)
					.slots(this.slots)
					.tokenMicros(this.tokenMillis * 1000L)
					.models(this.models);
				if (this.crashMarker != null) {
					settings.crashMarker(this.crashMarker);
				}
				engines.add(settings.start());
			}
			engines.subList(1, engines.size())
				.forEach((engine) -> this.console.println("engine listens on http://" + engine.address()));
			return serve(this.console, "engine", engines.getFirst().port(), () -> engines.forEach(EngineStandIn::stop));
		}

	}

	/**
	 * Starts a weight store.
	 */
	@Command(name = "weights", mixinStandardHelpOptions = true,
			description = "Starts a weight store with a rate limit.")
	static final class Weights implements Callable<Integer> {

		@Mixin
		private PortOption listen;

		@Mixin
		private Console console;

		@Option(names = "--load-ms", paramLabel = "MS", defaultValue = "2000",
				description = "Time that one load takes (default: 2000).")
		private long loadMillis;

		@Override
		public Integer call() {
			WeightStoreStandIn store = WeightStoreStandIn.start(null, this.listen.port, this.loadMillis);
			return serve(this.console, "weight store", store.port(), store::stop);
		}

	}

	/**
	 * Starts a plain service.
	 */
	@Command(name = "service", mixinStandardHelpOptions = true,
			description = "Starts a plain service that answers with what it was sent.")
	static final class Service implements Callable<Integer> {

		@Mixin
		private PortOption listen;

		@Mixin
		private Console console;

		@Option(names = "--delay", paramLabel = "MS", defaultValue = "0", description = "Time until an answer.")
		private long delayMillis;

		@Override
		public Integer call() {
			ServiceStandIn service = ServiceStandIn.start(null, this.listen.port);
			service.delay(this.delayMillis);
			return serve(this.console, "service", service.port(), service::stop);
		}

	}

}
