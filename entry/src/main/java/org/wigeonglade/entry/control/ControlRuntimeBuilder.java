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
 * Collects what the runtime needs.
 */
public final class ControlRuntimeBuilder {

	private PeerIdentity identity;

	private String peerAddress;

	private ControlOptions options;

	private Ticker ticker = Ticker.system();

	private PeerTransport transport;

	private PeerDirectory directory;

	private HostDirectory hostDirectory;

	private LogService log;

	private AccountRecorder account;

	private ConfigurationBodyParser bodies = SettingsReader.create()::readFleetConfiguration;

	private Executor loop;

	private PlacementTargets targets;

	private PlacementLeaseTiming leaseTiming = PlacementLeaseTiming.defaults();

	ControlRuntimeBuilder() {
	}

	/**
	 * Sets who this host is.
	 * @param value the identity, not null
	 * @param address the peer listener as other hosts reach it
	 * @return this builder
	 */
	public ControlRuntimeBuilder identity(PeerIdentity value, String address) {
		this.identity = value;
		this.peerAddress = address;
		return this;
	}

	/**
	 * Sets the times and sizes.
	 * @param value the options, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder options(ControlOptions value) {
		this.options = value;
		return this;
	}

	/**
	 * Sets the clocks.
	 * @param value the clocks, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder ticker(Ticker value) {
		this.ticker = value;
		return this;
	}

	/**
	 * Sets the message transport between hosts.
	 * @param value the transport, not null
	 * @param addresses the addresses that it sends to, usually the same object
	 * @return this builder
	 */
	public ControlRuntimeBuilder transport(PeerTransport value, PeerDirectory addresses) {
		this.transport = value;
		this.directory = addresses;
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
	 * Sets the account.
	 * @param value the account, or null for none
	 * @return this builder
	 */
	public ControlRuntimeBuilder account(AccountRecorder value) {
		this.account = value;
		return this;
	}

	/**
	 * Sets the reader of configuration bodies instead of the settings reader.
	 * @param value the reader, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder bodies(ConfigurationBodyParser value) {
		this.bodies = value;
		return this;
	}

	/**
	 * Turns placement on.
	 * @param value gives access to the runners; null turns placement off
	 * @param timing the timing of the placement lease, not null
	 * @return this builder
	 */
	public ControlRuntimeBuilder placement(PlacementTargets value, PlacementLeaseTiming timing) {
		this.targets = value;
		this.leaseTiming = timing;
		return this;
	}

	/**
	 * Creates the runtime; {@link ControlRuntime#start()} starts it. Handlers of peer
	 * messages are registered at once.
	 * @return the runtime
	 */
	public ControlRuntime build() {
		return new ControlRuntime(this);
	}

	// Runs all state changes on another executor and leaves the ticks to the caller.
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

	PeerDirectory getDirectory() {
		return this.directory;
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

	ConfigurationBodyParser getBodies() {
		return this.bodies;
	}

	Executor getLoop() {
		return this.loop;
	}

	PlacementTargets getTargets() {
		return this.targets;
	}

	PlacementLeaseTiming getLeaseTiming() {
		return this.leaseTiming;
	}

}
