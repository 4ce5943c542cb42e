package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.Objects;

import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.batch.PartitionOptions;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.LimitSettings;
import org.wigeonglade.schema.generated.settings.PlatformSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;

/**
 * Builds the batch runtime of a host. Log, peers, fleet and configuration are required.
 */
public final class BatchRuntimeBuilder {

	private final HostSettings settings;

	private long incarnation = System.currentTimeMillis();

	private LogService log;

	private PeerTransport peers;

	private FleetViewSource fleet;

	private ConfigurationSource configuration;

	private AccountRecorder account = (code, kind, id, cause, figures) -> "";

	private Ticker ticker = Ticker.system();

	private PartitionOptions options;

	BatchRuntimeBuilder(HostSettings settings) {
		this.settings = Objects.requireNonNull(settings, "settings");
		TimingSettings timing = (settings.getTiming() != null) ? settings.getTiming() : new TimingSettings();
		this.options = PartitionOptions.of(Duration.ofMillis(timing.getPartitionLeaseMs()),
				Duration.ofMillis(timing.getWorkLeaseMs()), Duration.ofMillis(timing.getLogPollMs()),
				Duration.ofMillis(timing.getGroupCommitMs()));
		PlatformSettings platform = settings.getPlatform();
		if (platform != null) {
			this.options = this.options.withRetention(platform.getLogRetainedRecords(),
					Duration.ofMinutes(platform.getLogRetainedMinutes()), this.options.snapshotEvery());
		}
	}

	/**
	 * Sets the incarnation, by default the wall-clock time in milliseconds. It must be
	 * the one in the gossip digests of this host.
	 * @param value a number that grows with each start of the host
	 * @return this builder
	 */
	public BatchRuntimeBuilder withIncarnation(long value) {
		this.incarnation = value;
		return this;
	}

	/**
	 * Sets the log that holds the partitions.
	 * @param value the log, not null
	 * @return this builder
	 */
	public BatchRuntimeBuilder withLog(LogService value) {
		this.log = Objects.requireNonNull(value, "log");
		return this;
	}

	/**
	 * Sets the transport for messages to and from other hosts.
	 * @param value the transport, not null
	 * @return this builder
	 */
	public BatchRuntimeBuilder withPeers(PeerTransport value) {
		this.peers = Objects.requireNonNull(value, "peers");
		return this;
	}

	/**
	 * Sets the source of the view of the live hosts.
	 * @param value the source, not null
	 * @return this builder
	 */
	public BatchRuntimeBuilder withFleet(FleetViewSource value) {
		this.fleet = Objects.requireNonNull(value, "fleet");
		return this;
	}

	/**
	 * Sets the source of the published configuration.
	 * @param value the source, not null
	 * @return this builder
	 */
	public BatchRuntimeBuilder withConfiguration(ConfigurationSource value) {
		this.configuration = Objects.requireNonNull(value, "configuration");
		return this;
	}

	/**
	 * Sets the recorder of decisions for the account; without it none are recorded.
	 * @param value the recorder, not null
	 * @return this builder
	 */
	public BatchRuntimeBuilder withAccount(AccountRecorder value) {
		this.account = Objects.requireNonNull(value, "account");
		return this;
	}

	/**
	 * Sets the source of time, by default the system clocks.
	 * @param value the source of time, not null
	 * @return this builder
	 */
	public BatchRuntimeBuilder withTicker(Ticker value) {
		this.ticker = Objects.requireNonNull(value, "ticker");
		return this;
	}

	/**
	 * Sets the retention that the log guarantees, and the interval of snapshots.
	 * @param retainedRecords the least number of records that a stream retains
	 * @param retainedFor the least time for which a record is retained, zero for no limit
	 * @param snapshotEvery the number of records between two snapshots
	 * @return this builder
	 */
	public BatchRuntimeBuilder withRetention(long retainedRecords, Duration retainedFor, long snapshotEvery) {
		this.options = this.options.withRetention(retainedRecords, retainedFor, snapshotEvery);
		return this;
	}

	/**
	 * Creates the runtime without starting it.
	 * @return a runtime, never null
	 * @throws NullPointerException if a required part was not set
	 */
	public BatchRuntime build() {
		Objects.requireNonNull(this.log, "log");
		Objects.requireNonNull(this.peers, "peers");
		Objects.requireNonNull(this.fleet, "fleet");
		Objects.requireNonNull(this.configuration, "configuration");
		return new LogBatchRuntime(this);
	}

	HostSettings getSettings() {
		return this.settings;
	}

	LimitSettings getLimits() {
		return (this.settings.getLimits() != null) ? this.settings.getLimits() : new LimitSettings();
	}

	long getIncarnation() {
		return this.incarnation;
	}

	LogService getLog() {
		return this.log;
	}

	PeerTransport getPeers() {
		return this.peers;
	}

	FleetViewSource getFleet() {
		return this.fleet;
	}

	ConfigurationSource getConfiguration() {
		return this.configuration;
	}

	AccountRecorder getAccount() {
		return this.account;
	}

	Ticker getTicker() {
		return this.ticker;
	}

	PartitionOptions getOptions() {
		return this.options;
	}

}
