package org.wigeonglade.entry.control;

import java.util.concurrent.Executor;

import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.config.ConfigurationBodyParser;
import org.wigeonglade.core.peer.PeerDirectory;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.place.PlacementLeaseTiming;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.peer.PeerIdentity;

/**
 * Builder of a {@link ControlRuntime}.
 */
public final class ControlRuntimeBuilder {

	private PeerIdentity identity;

	private String peerAddress;

	private ControlOptions options;

	private Ticker ticker = Ticker.system();

	private PeerTransport transport;

	private PeerDirectory peerDirectory;

	private HostDirectory hostDirectory;

	private LogService log;

	private AccountRecorder account;

	private ConfigurationBodyParser bodyParser = SettingsReader.create()::readFleetConfiguration;

	private Executor loop;

	private PlacementRunnerClient runnerClient;

	private PlacementLeaseTiming leaseTiming = PlacementLeaseTiming.defaults();

	ControlRuntimeBuilder() {
	}

	/**
	 * Sets the identity of this host.
	 * @param value the identity, not null
	 * @param address the address under which other hosts reach the peer listener
	 * @return this builder
	 */
	public ControlRuntimeBuilder identity(PeerIdentity value, String address) {
		this.identity = value;
		this.peerAddress = address;
		return this;
	}

	/**
	 * Sets the intervals, time-outs and sizes.
	 * @param value the options, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder options(ControlOptions value) {
		this.options = value;
		return this;
	}

	/**
	 * Sets the clocks; the default is the system clocks.
	 * @param value the monotonic clock and the wall clock, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder ticker(Ticker value) {
		this.ticker = value;
		return this;
	}

	/**
	 * Sets the transport of messages between hosts.
	 * @param value the transport, not null
	 * @param addresses the peer addresses of the transport, usually the same object
	 * @return this builder
	 */
	public ControlRuntimeBuilder transport(PeerTransport value, PeerDirectory addresses) {
		this.transport = value;
		this.peerDirectory = addresses;
		return this;
	}

	/**
	 * Sets the services of the platform.
	 * @param hosts the host list, not null
	 * @param streams the log service, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder platform(HostDirectory hosts, LogService streams) {
		this.hostDirectory = hosts;
		this.log = streams;
		return this;
	}

	/**
	 * Sets the recorder of account events.
	 * @param value the recorder, or null to record none
	 * @return this builder
	 */
	public ControlRuntimeBuilder account(AccountRecorder value) {
		this.account = value;
		return this;
	}

	/**
	 * Sets the parser of configuration bodies; the default is the settings reader.
	 * @param value the parser, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder bodyParser(ConfigurationBodyParser value) {
		this.bodyParser = value;
		return this;
	}

	/**
	 * Enables placement, which is disabled by default.
	 * @param value the client for runners; null disables placement
	 * @param timing the durations of the placement lease, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder placement(PlacementRunnerClient value, PlacementLeaseTiming timing) {
		this.runnerClient = value;
		this.leaseTiming = timing;
		return this;
	}

	/**
	 * Creates the runtime and registers its handlers of peer messages; the control loop
	 * does not run before {@link ControlRuntime#start()}.
	 * @return the runtime
	 */
	public ControlRuntime build() {
		return new ControlRuntime(this);
	}

	// For tests: runs all state changes on this executor and no ticks of its own.
	ControlRuntimeBuilder loop(Executor value) {
		this.loop = value;
		return this;
	}

	PeerIdentity getIdentity() {
		return this.identity;
	}

	String getPeerAddress() {
		return this.peerAddress;
	}

	ControlOptions getOptions() {
		return this.options;
	}

	Ticker getTicker() {
		return this.ticker;
	}

	PeerTransport getTransport() {
		return this.transport;
	}

	PeerDirectory getPeerDirectory() {
		return this.peerDirectory;
	}

	HostDirectory getHostDirectory() {
		return this.hostDirectory;
	}

	LogService getLog() {
		return this.log;
	}

	AccountRecorder getAccount() {
		return this.account;
	}

	ConfigurationBodyParser getBodyParser() {
		return this.bodyParser;
	}

	Executor getLoop() {
		return this.loop;
	}

	PlacementRunnerClient getRunnerClient() {
		return this.runnerClient;
	}

	PlacementLeaseTiming getLeaseTiming() {
		return this.leaseTiming;
	}

}
