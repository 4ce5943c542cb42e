package org.wigeonglade.cli;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Tells in plain sentences what happened to a subject.
 */
@Command(name = "explain", mixinStandardHelpOptions = true,
		description = { "Tells in plain sentences what happened, and says what is not known.", "", "Examples:",
				"  wigeonglade explain request req-17", "  wigeonglade explain item batch-3-aB12cD34/17",
				"  wigeonglade explain period --from 2026-01-31T08:00:00Z --to 2026-01-31T09:00:00Z" })
final class ExplainCommand implements Callable<Integer> {

	@Parameters(index = "0", paramLabel = "KIND",
			description = "request, item, batch, host, upstream, partition, config, fingerprint or period.")
	private String kind;

	@Parameters(index = "1", arity = "0..1", paramLabel = "ID", description = "Identifier; a period has none.")
	private String id = "";

	@Option(names = "--from", paramLabel = "TIME",
			description = "Only from this time on, such as 2026-01-31T08:00:00Z.")
	private String from;

	@Option(names = "--to", paramLabel = "TIME", description = "Only before this time.")
	private String to;

	@Option(names = { "-v", "--verbose" }, description = "Show identifiers and figures.")
	private boolean verbose;

	@Mixin
	private OperatorOptions operator;

	@Mixin
	private Console console;

	@Override
	public Integer call() {
		Map<String, String> parameters = new LinkedHashMap<>();
		parameters.put("kind", this.kind);
		putIfSet(parameters, "id", this.id);
		putIfSet(parameters, "from", this.from);
		putIfSet(parameters, "to", this.to);
		JsonObject account = this.operator.getJson("/operator/explain", parameters);
		if (this.console.isJson()) {
			this.console.printJson(account);
		}
		else {
			print(account);
		}
		return ExitCode.SUCCESS;
	}

	private static void putIfSet(Map<String, String> parameters, String name, String value) {
		if (value != null && !value.isEmpty()) {
			parameters.put(name, value);
		}
	}

	private void print(JsonObject account) {
		this.console.println(account.getString("summary"));
		JsonArray statements = account.getJsonArray("statements");
		for (int i = 0; i < statements.size(); i++) {
			JsonObject statement = statements.getJsonObject(i);
			this.console.println("  " + statement.getString("time") + "  " + statement.getString("sentence"));
			printDetail(statement);
		}
		JsonArray gaps = account.getJsonArray("gaps");
		if (!gaps.isEmpty()) {
			this.console.println("What is not known:");
		}
		for (int i = 0; i < gaps.size(); i++) {
			this.console.println("  - " + gaps.getJsonObject(i).getString("sentence"));
			printDetail(gaps.getJsonObject(i));
		}
	}

	private void printDetail(JsonObject part) {
		if (this.verbose && !part.getString("detail").isEmpty()) {
			this.console.println("      " + part.getString("detail"));
		}
	}

}
