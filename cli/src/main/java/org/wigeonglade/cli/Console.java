package org.wigeonglade.cli;

import java.io.PrintWriter;
import java.util.Locale;

import io.vertx.core.json.JsonObject;
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

	void println(String line) {
		PrintWriter out = this.spec.commandLine().getOut();
		out.println(line);
		out.flush();
	}

	void printf(String format, Object... values) {
		println(String.format(Locale.ROOT, format, values));
	}

}
