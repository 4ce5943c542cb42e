package org.wigeonglade.cli;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;

import io.vertx.core.json.JsonObject;
import org.wigeonglade.bench.model.DecisionTiming;
import org.wigeonglade.bench.model.DispatchModel;
import org.wigeonglade.bench.model.ModelContention;
import org.wigeonglade.bench.model.ModelOptions;
import org.wigeonglade.bench.model.ModelReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Tries placement decisions on a modelled fleet in simulated time.
 */
@Command(name = "model", mixinStandardHelpOptions = true,
		description = "Runs the gateway's placement decisions on a modelled fleet, in simulated time and one process. "
				+ "The same options give the same figures.")
final class ModelCommand implements Callable<Integer> {

	@Mixin
	private Console console;

	@Option(names = "--hosts", paramLabel = "N", defaultValue = "95",
			description = "Gateway hosts (default: ${DEFAULT-VALUE}).")
	private int hosts;

	@Option(names = "--domains", paramLabel = "N", defaultValue = "5",
			description = "Failure domains that hosts and runners are spread over (default: ${DEFAULT-VALUE}).")
	private int domains;

	@Option(names = "--runners", paramLabel = "N", defaultValue = "36",
			description = "Runners (default: ${DEFAULT-VALUE}).")
	private int runners;

	@Option(names = "--slots", paramLabel = "N", defaultValue = "7",
			description = "Requests that a runner runs at once (default: ${DEFAULT-VALUE}).")
	private int slots;

	@Option(names = "--seconds", paramLabel = "S", defaultValue = "30",
			description = "Length of the run in simulated seconds (default: ${DEFAULT-VALUE}).")
	private int seconds;

	@Option(names = "--seed", paramLabel = "N", defaultValue = "1",
			description = "Seed of all random numbers (default: ${DEFAULT-VALUE}).")
	private long seed;

	@Option(names = "--near-lag", paramLabel = "MS", defaultValue = "10",
			description = "Age of reports within a failure domain (default: ${DEFAULT-VALUE} ms).")
	private int nearLag;

	@Option(names = "--far-lag", paramLabel = "MS", defaultValue = "40",
			description = "Age of reports between failure domains (default: ${DEFAULT-VALUE} ms).")
	private int farLag;

	@Option(names = "--streams", paramLabel = "N", defaultValue = "188",
			description = "Mean arrivals of streams a second (default: ${DEFAULT-VALUE}).")
	private double streams;

	@Option(names = "--burst", paramLabel = "X", defaultValue = "1.87",
			description = "Rate in a burst as a multiple of the mean; 1 for a steady load (default: ${DEFAULT-VALUE}).")
	private double burst;

	@Option(names = "--stream-hold", paramLabel = "MS", defaultValue = "710",
			description = "Mean time that a stream holds a slot (default: ${DEFAULT-VALUE} ms).")
	private int streamHold;

	@Option(names = "--items", paramLabel = "N", defaultValue = "23.5",
			description = "Mean arrivals of batch items a second (default: ${DEFAULT-VALUE}).")
	private double items;

	@Option(names = "--item-hold", paramLabel = "MS", defaultValue = "4900",
			description = "Mean time that an item holds a slot (default: ${DEFAULT-VALUE} ms).")
	private int itemHold;

	@Option(names = "--workspaces", paramLabel = "N", defaultValue = "0",
			description = "Workspaces that compete (default: ${DEFAULT-VALUE}).")
	private int workspaces;

	@Option(names = "--urgencies", paramLabel = "N", defaultValue = "1",
			description = "Priorities that the workspaces have in turn (default: ${DEFAULT-VALUE}).")
	private int urgencies;

	@Option(names = "--admission", paramLabel = "MODE", defaultValue = "NONE",
			description = "Admission under overload: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
	private ModelContention.Admission admission;

	@Option(names = "--disturb", paramLabel = "KIND", split = ",",
			description = "Disturbances every 29 s: ${COMPLETION-CANDIDATES}. Shares are counted in the 7 s after each.")
	private Set<ModelContention.Disturbance> disturbances = EnumSet.noneOf(ModelContention.Disturbance.class);

	@Option(names = "--time-decisions",
			description = "Only measure the processor time of an admission and placement, by requests at each runner.")
	private boolean timeDecisions;

	@Override
	public Integer call() {
		if (this.timeDecisions) {
			for (int online = this.slots / 2; online <= this.slots + 1; online++) {
				double micros = DecisionTiming.measure(this.runners, online, Math.max(1, this.workspaces));
				this.console.println(online + ": " + format(micros) + " us");
			}
			return ExitCode.SUCCESS;
		}
		ModelOptions options = ModelOptions.builder()
			.hosts(this.hosts, this.domains)
			.runners(this.runners, this.slots)
			.seconds(this.seconds)
			.seed(this.seed)
			.lag(this.nearLag, this.farLag)
			.streams(this.streams, this.burst, this.streamHold)
			.items(this.items, this.itemHold)
			.contention(new ModelContention(this.workspaces, this.urgencies, this.admission, this.disturbances))
			.build();
		ModelReport report = DispatchModel.run(options);
		if (this.console.isJson()) {
			JsonObject figures = new JsonObject();
			report.getFigures().forEach(figures::put);
			this.console.printJson(figures);
		}
		else {
			report.getFigures().forEach((name, value) -> this.console.println(name + ": " + format(value)));
		}
		return ExitCode.SUCCESS;
	}

	private static String format(Number value) {
		return (value instanceof Double fraction) ? String.format(Locale.ROOT, "%.3f", fraction) : value.toString();
	}

}
