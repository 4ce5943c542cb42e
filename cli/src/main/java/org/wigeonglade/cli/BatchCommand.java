package org.wigeonglade.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import me.tongfei.progressbar.ProgressBar;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Submits batch jobs and reads their results.
 */
@Command(name = "batch", mixinStandardHelpOptions = true, description = "Submits batch jobs and reads their results.",
		subcommands = { BatchCommand.Submit.class, BatchCommand.Status.class, BatchCommand.Results.class,
				BatchCommand.Cancel.class })
final class BatchCommand implements Runnable {

	private static final String ROOT = "/v1/batches";

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	private static void print(Console console, JsonObject job) {
		if (console.isJson()) {
			console.printJson(job);
			return;
		}
		console.printf("%s (%s): %s", job.getString("id"), job.getString("service"),
				job.getString("status").replace('_', ' '));
		console.printf("  %d items: %d completed, %d failed, %d cancelled, %d unknown, %d pending",
				job.getInteger("items"), job.getInteger("completed"), job.getInteger("failed"),
				job.getInteger("cancelled"), job.getInteger("unknown"), job.getInteger("pending"));
	}

	private static String path(String id) {
		if (!id.matches("batch-[0-9]{1,4}-[A-Za-z0-9]{8,64}")) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"'" + id + "' is not a job; a job is named such as batch-3-aB12cD34");
		}
		return ROOT + "/" + id;
	}

	/**
	 * Submits a job file.
	 */
	@Command(name = "submit", mixinStandardHelpOptions = true,
			description = "Submits a JSON Lines file; each line has a custom_id and a body with its model.")
	static final class Submit implements Callable<Integer> {

		@Parameters(paramLabel = "FILE", description = "The job file, UTF-8.")
		private Path file;

		@Option(names = "--idempotency-key", paramLabel = "KEY",
				description = "Key under which a repeated submission is the same job.")
		private String idempotencyKey;

		@Option(names = "--wait", description = "Wait until every item has an outcome; ends with code 1 if one failed.")
		private boolean waiting;

		@Mixin
		private CallerOptions caller;

		@Mixin
		private Console console;

		@Override
		public Integer call() throws InterruptedException {
			Buffer body = read(this.file);
			Map<String, String> headers = (this.idempotencyKey != null) ? Map.of("Idempotency-Key", this.idempotencyKey)
					: Map.of();
			JsonObject job;
			try (HostClient client = this.caller.connect(headers)) {
				job = client.postJson(ROOT, Map.of(), body);
			}
			if (this.waiting) {
				job = awaitEnd(job);
			}
			print(this.console, job);
			boolean whole = job.getInteger("completed").equals(job.getInteger("items"));
			return (!this.waiting || whole) ? ExitCode.SUCCESS : ExitCode.FAILED;
		}

		private JsonObject awaitEnd(JsonObject submitted) throws InterruptedException {
			JsonObject job = submitted;
			try (HostClient client = this.caller.connect(Map.of());
					ProgressBar bar = this.console.openProgress("items", job.getInteger("items"))) {
				while (job.getInteger("pending") > 0) {
					Thread.sleep(500);
					job = client.getJson(path(job.getString("id")), Map.of());
					bar.stepTo(job.getInteger("items") - job.getInteger("pending"));
				}
			}
			return job;
		}

		private static Buffer read(Path file) {
			try {
				return Buffer.buffer(Files.readAllBytes(file));
			}
			catch (IOException ex) {
				throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, file + ": the file cannot be read",
						ex);
			}
		}

	}

	/**
	 * Shows the state of a job.
	 */
	@Command(name = "status", mixinStandardHelpOptions = true, description = "Counts the items of a job by state.")
	static final class Status implements Callable<Integer> {

		@Parameters(paramLabel = "ID", description = "The job.")
		private String id;

		@Mixin
		private CallerOptions caller;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			try (HostClient client = this.caller.connect(Map.of())) {
				print(this.console, client.getJson(path(this.id), Map.of()));
			}
			return ExitCode.SUCCESS;
		}

	}

	/**
	 * Reads the results of a job.
	 */
	@Command(name = "results", mixinStandardHelpOptions = true,
			description = "Writes the results as JSON Lines, in no particular order.")
	static final class Results implements Callable<Integer> {

		@Parameters(paramLabel = "ID", description = "The job.")
		private String id;

		@Option(names = "--output", paramLabel = "FILE", description = "Write to this file (default: standard output).")
		private Path output;

		@Mixin
		private CallerOptions caller;

		@CommandLine.Spec
		private CommandLine.Model.CommandSpec spec;

		@Override
		public Integer call() {
			Buffer lines;
			try (HostClient client = this.caller.connect(Map.of())) {
				lines = client.getBytes(path(this.id) + "/results");
			}
			if (this.output == null) {
				this.spec.commandLine().getOut().print(lines.toString("UTF-8"));
				this.spec.commandLine().getOut().flush();
				return ExitCode.SUCCESS;
			}
			try {
				Files.write(this.output, lines.getBytes());
			}
			catch (IOException ex) {
				throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
						this.output + ": the file cannot be written", ex);
			}
			return ExitCode.SUCCESS;
		}

	}

	/**
	 * Cancels a job.
	 */
	@Command(name = "cancel", mixinStandardHelpOptions = true,
			description = "Cancels a job. Items that have an outcome keep it; the others do not run.")
	static final class Cancel implements Callable<Integer> {

		@Parameters(paramLabel = "ID", description = "The job.")
		private String id;

		@Mixin
		private CallerOptions caller;

		@Mixin
		private Console console;

		@Override
		public Integer call() {
			try (HostClient client = this.caller.connect(Map.of())) {
				print(this.console, client.postJson(path(this.id) + "/cancel", Map.of(), null));
			}
			return ExitCode.SUCCESS;
		}

	}

}
