package org.wigeonglade.cli;

import java.io.PrintWriter;
import java.util.Locale;

import io.vertx.core.json.JsonObject;
import me.tongfei.progressbar.ConsoleProgressBarConsumer;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarConsumer;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Writes results to standard output, for people by default and as JSON for machines.
 */
final class Console {

	@Spec(Spec.Target.MIXEE)
	private CommandSpec spec;

	@Option(names = "--json", description = "Write the result as JSON.")
	private boolean json;

	boolean isJson() {
		return this.json;
	}

	void printJson(JsonObject value) {
		println(value.encodePrettily());
	}

	/**
	 * Prints the figures of a measurement.
	 * @param result the figures with the verdict {@code ok}
	 * @return the exit code of the verdict
	 */
	int printResult(JsonObject result) {
		if (this.json) {
			printJson(result);
		}
		else {
			result
				.forEach((figure) -> println(figure.getKey() + ": " + ((figure.getValue() instanceof JsonObject nested)
						? nested.encodePrettily() : figure.getValue())));
		}
		return result.getBoolean("ok") ? ExitCode.SUCCESS : ExitCode.FAILED;
	}

	void println(String line) {
		PrintWriter out = this.spec.commandLine().getOut();
		out.println(line);
		out.flush();
	}

	void printf(String format, Object... values) {
		println(String.format(Locale.ROOT, format, values));
	}

	// The bar goes to standard error and shows nothing unless a person watches a
	// terminal.
	ProgressBar openProgress(String task, long steps) {
		boolean watched = !this.json && System.console() != null;
		return new ProgressBarBuilder().setTaskName(task)
			.setInitialMax(steps)
			.setConsumer((watched) ? new ConsoleProgressBarConsumer(System.err) : new SilentProgress())
			.build();
	}

	/**
	 * Drops the bar where nobody watches.
	 */
	private static final class SilentProgress implements ProgressBarConsumer {

		@Override
		public int getMaxRenderedLength() {
			return 0;
		}

		@Override
		public void accept(String rendered) {
		}

		@Override
		public void close() {
		}

	}

}
