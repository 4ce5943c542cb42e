package org.wigeonglade.bench.demo;

import java.util.List;
import java.util.function.UnaryOperator;

import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.settings.TimingSettings;
import org.wigeonglade.standins.engine.EngineSettings;

/**
 * Collects the options of a fixture.
 */
public final class FleetOptions {

	final Deployment deployment;

	FleetHostStarter starter = EntryHostStarter.create(Ticker.system());

	UnaryOperator<EngineSettings> engine = UnaryOperator.identity();

	List<String> models;

	TimingSettings timing = fastTiming();

	long hostListLagMillis = 200;

	int logAppendsPerSecond = 400;

	int appendBudget = 200;

	int platformTimeoutMillis = 1000;

	FleetOptions(Deployment deployment) {
		this.deployment = deployment;
		this.models = List.of(deployment.modelService());
	}

	/**
	 * Returns timings that detect lost hosts within about one second.
	 * @return new timings, never null
	 */
	public static TimingSettings fastTiming() {
		return new TimingSettings().withDigestIntervalMs(200)
			.withHostSilentMs(1200)
			.withPartitionLeaseMs(1200)
			.withWorkLeaseMs(2000)
			.withLogPollMs(200)
			.withHostListPollMs(200)
			.withGroupCommitMs(10)
			.withBalancerDelayMs(100)
			.withDrainLimitMs(5000);
	}

	/**
	 * Sets how hosts are started.
	 * @param value the starter, not null
	 * @return this builder
	 */
	public FleetOptions starter(FleetHostStarter value) {
		this.starter = value;
		return this;
	}

	/**
	 * Changes the settings of every engine.
	 * @param value the change, not null
	 * @return this builder
	 */
	public FleetOptions engine(UnaryOperator<EngineSettings> value) {
		this.engine = value;
		return this;
	}

	/**
	 * Sets the models of the model service.
	 * @param value the names, not empty
	 * @return this builder
	 */
	public FleetOptions models(List<String> value) {
		this.models = List.copyOf(value);
		return this;
	}

	/**
	 * Sets the timings of all hosts.
	 * @param value the timings, not null
	 * @return this builder
	 */
	public FleetOptions timing(TimingSettings value) {
		this.timing = value;
		return this;
	}

	/**
	 * Sets the lag of the host list.
	 * @param value milliseconds
	 * @return this builder
	 */
	public FleetOptions hostListLagMillis(long value) {
		this.hostListLagMillis = value;
		return this;
	}

	/**
	 * Sets the rate limit of the log.
	 * @param value appends a second, 0 for no limit
	 * @return this builder
	 */
	public FleetOptions logAppendsPerSecond(int value) {
		this.logAppendsPerSecond = value;
		return this;
	}

	/**
	 * Sets the time until a call to the platform fails.
	 * @param value milliseconds
	 * @return this builder
	 */
	public FleetOptions platformTimeoutMillis(int value) {
		this.platformTimeoutMillis = value;
		return this;
	}

	/**
	 * Starts the fleet.
	 * @return the running fleet, never null
	 */
	public FleetFixture start() {
		return new FleetFixture(this).start();
	}

}
