package org.wigeonglade.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Follows a request, item, job or runner through the logs of several hosts.
 */
@Command(name = "logs", mixinStandardHelpOptions = true,
		description = { "Follows a request, item, job or runner through the logs of several hosts.", "",
				"The log of a host is named after its file. docs/OPERATIONS.md tells how to read the course.", "",
				"Example:", "  wigeonglade logs 9c41d07be2a35f68 edge-1.log edge-2.log" })
final class LogsCommand implements Callable<Integer> {

	@Parameters(index = "0", paramLabel = "ID", description = "Id of a request, item, job, runner or host.")
	private String id;

	@Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "Logs, one file for each host.")
	private List<Path> files;

	@Mixin
	private Console console;

	@Override
	public Integer call() {
		LogCourse course = new LogCourse(this.id);
		LogFiles.read(this.files, StandardCharsets.UTF_8, course::add);
		print(course);
		return course.getLines().isEmpty() ? ExitCode.FAILED : ExitCode.SUCCESS;
	}

	private void print(LogCourse course) {
		if (this.console.isJson()) {
			JsonObject result = new JsonObject().put("lines", new JsonArray()).put("gaps", new JsonArray());
			course.getLines().forEach((line) -> result.getJsonArray("lines").add(write(line)));
			course.getGaps().forEach((line) -> result.getJsonArray("gaps").add(write(line)));
			this.console.printJson(result);
			return;
		}
		if (course.getLines().isEmpty()) {
			this.console.println("No line names " + this.id + ".");
		}
		course.getLines().forEach((line) -> this.console.println(line.write(this.id)));
		if (!course.getGaps().isEmpty()) {
			this.console.println("Lines were left out meanwhile:");
			course.getGaps().forEach((line) -> this.console.println(line.write(this.id)));
		}
	}

	private static JsonObject write(LogCourse.Line line) {
		return new JsonObject().put("time", line.time().toString())
			.put("host", line.host())
			.put("event", line.event())
			.put("message", line.message())
			.put("figures", line.figures());
	}

}
