package org.wigeonglade.bench.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import org.wigeonglade.bench.client.ServingClient;

/**
 * Runs online requests and one batch job side by side on a fleet of a deployment's size,
 * loses one entry host and one runner on the way, and reports whether the promises held.
 * All figures come from its own clients and from the engines' own counters.
 */
public final class Demo {

	/** Exit code when the promises held. */
	public static final int EXIT_OK = 0;

	/** Exit code when a promise was broken. */
	public static final int EXIT_BROKEN = 1;

	/** Longest time of the load; with start and end the demo stays below 40 s. */
	private static final int MAX_SECONDS = 22;

	/** Time after the load in which the job must finish. */
	private static final int FINISH_SECONDS = 8;

	private static final int DEFAULT_ITEMS = 600;

	private static final double HOST_LOST_AT = 0.3;

	private static final double RUNNER_LOST_AT = 0.6;

	private final Deployment deployment;

	private final BatchJob job;

	private final Path results;

	private final int online;

	private final long seed;

	private final int seconds;

	private final boolean json;

	private Demo(Builder builder) {
		this.deployment = Deployment.of(builder.deployment);
		this.job = (builder.job != null) ? BatchJob.read(builder.job)
				: BatchJob.generate(this.deployment.modelService(), DEFAULT_ITEMS, builder.seed);
		this.results = builder.results;
		this.online = Math.max(0, builder.online);
		this.seed = builder.seed;
		this.seconds = Math.max(1, Math.min(MAX_SECONDS, builder.seconds));
		this.json = builder.json;
	}

	/**
	 * Returns a builder.
	 * @return a builder with defaults, never null
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Runs the demo.
	 * @param out receives the summary and, if wanted, one JSON object as its last line
	 * @return the exit code, {@value #EXIT_OK} only if the promises held
	 */
	public int run(PrintStream out) {
		List<String> models = new ArrayList<>(this.job.models());
		if (!models.contains(this.deployment.modelService())) {
			models.add(0, this.deployment.modelService());
		}
		out.println("Starting " + this.deployment.hosts() + " entry hosts, " + this.deployment.runners()
				+ " runners and " + this.deployment.plainUpstreams() + " plain upstreams of " + this.deployment.name()
				+ " on loopback.");
		try (FleetFixture fixture = FleetFixture.builder(this.deployment).models(models).start()) {
			DemoReport report = runOn(fixture, out);
			writeResults(report.getBatch());
			report.print(out);
			if (this.json) {
				out.println(report.toJson().encode());
			}
			return report.isOk() ? EXIT_OK : EXIT_BROKEN;
		}
	}

	private DemoReport runOn(FleetFixture fixture, PrintStream out) {
		ServingClient client = ServingClient.of(fixture.vertx(), FleetConfigurations.API_KEY);
		LoadBalancer balancer = new LoadBalancer(fixture);
		OnlineRun onlineRun = new OnlineRun(fixture.vertx(), client, balancer, this.deployment.modelService());
		BatchRun batchRun = new BatchRun(fixture.vertx(), client, balancer, this.job, "demo-" + this.seed,
				Duration.ofSeconds(this.seconds + FINISH_SECONDS));
		waitUntilServing(onlineRunProbe(fixture, client, balancer));
		Future<Void> load = Future
			.join(onlineRun.start(this.online, Duration.ofSeconds(this.seconds), this.seed), batchRun.start())
			.mapEmpty();
		Random random = new Random(this.seed);
		int host = random.nextInt(fixture.members().size());
		int runner = random.nextInt(fixture.engines().size());
		sleep(HOST_LOST_AT);
		out.println("Losing entry host " + fixture.members().get(host).name() + " without warning.");
		fixture.killHost(fixture.members().get(host));
		sleep(RUNNER_LOST_AT - HOST_LOST_AT);
		out.println("Losing " + fixture.engineName(runner) + " without warning.");
		fixture.killEngine(runner);
		await(load, Duration.ofSeconds(this.seconds + FINISH_SECONDS + 2L));
		return new DemoReport(this.job, onlineRun, batchRun, fixture);
	}

	private Future<Void> onlineRunProbe(FleetFixture fixture, ServingClient client, LoadBalancer balancer) {
		OnlineRun probe = new OnlineRun(fixture.vertx(), client, balancer, this.deployment.modelService());
		return probe.start(fixture.members().size(), Duration.ofMillis(200), -this.seed - 1);
	}

	private static void waitUntilServing(Future<Void> probe) {
		await(probe, Duration.ofSeconds(5));
	}

	private void sleep(double share) {
		try {
			TimeUnit.MILLISECONDS.sleep((long) (share * this.seconds * 1000));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void await(Future<Void> future, Duration limit) {
		try {
			future.toCompletionStage().toCompletableFuture().get(limit.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			// What is missing at the end of the time is counted as lost or failed.
			return;
		}
	}

	private void writeResults(BatchRun batch) {
		if (this.results == null) {
			return;
		}
		try {
			Files.writeString(this.results, batch.getResults());
		}
		catch (IOException ex) {
			throw new IllegalStateException("the results file " + this.results + " cannot be written", ex);
		}
	}

	/**
	 * Collects the options of a demo.
	 */
	public static final class Builder {

		private String deployment = Deployment.MUISTOPUU.name();

		private Path job;

		private Path results;

		private int online = 300;

		private long seed = 1;

		private int seconds = 15;

		private boolean json;

		private Builder() {
		}

		/**
		 * Sets the deployment.
		 * @param value {@code muistopuu} or {@code plata}
		 * @return this builder
		 */
		public Builder deployment(String value) {
			this.deployment = value;
			return this;
		}

		/**
		 * Sets the job file.
		 * @param value a JSON Lines file of requests with {@code custom_id} and
		 * {@code body}, or null to generate a job
		 * @return this builder
		 */
		public Builder job(Path value) {
			this.job = value;
			return this;
		}

		/**
		 * Sets the file that receives the results of the job.
		 * @param value the file, or null for none
		 * @return this builder
		 */
		public Builder results(Path value) {
			this.results = value;
			return this;
		}

		/**
		 * Sets the number of online requests.
		 * @param value the number, at least 0
		 * @return this builder
		 */
		public Builder online(int value) {
			this.online = value;
			return this;
		}

		/**
		 * Sets the seed of arrivals and losses.
		 * @param value the seed
		 * @return this builder
		 */
		public Builder seed(long value) {
			this.seed = value;
			return this;
		}

		/**
		 * Sets the time over which online requests arrive.
		 * @param value seconds, limited to 1 to 22
		 * @return this builder
		 */
		public Builder seconds(int value) {
			this.seconds = value;
			return this;
		}

		/**
		 * Sets whether the last line is a JSON object.
		 * @param value whether to print it
		 * @return this builder
		 */
		public Builder json(boolean value) {
			this.json = value;
			return this;
		}

		/**
		 * Returns the demo.
		 * @return a demo that has not run, never null
		 * @throws org.wigeonglade.core.error.InvalidRequestException if the deployment is
		 * unknown or the job file cannot be read
		 */
		public Demo build() {
			return new Demo(this);
		}

	}

}
