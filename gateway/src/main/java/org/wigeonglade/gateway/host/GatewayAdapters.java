package org.wigeonglade.gateway.host;

import io.netty.channel.EventLoop;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.http.Connector;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.runner.RunnerProtocol;
import org.wigeonglade.gateway.store.KeyedLog;
import org.wigeonglade.gateway.store.KeyedRecord;

/**
 * The adapter of a platform: its store and its wire formats.
 */
public interface GatewayAdapters {

	/**
	 * Opens the store.
	 * @param connector opens connections, not null
	 * @param loop the event loop of all calls, not null
	 * @return the store, never null
	 */
	KeyedLog openLog(Connector connector, EventLoop loop);

	/**
	 * Returns the wire format of callers.
	 * @return the format, never null
	 */
	CallerProtocol getCallerProtocol();

	/**
	 * Returns the headers of runners.
	 * @return the format, never null
	 */
	RunnerProtocol getRunnerProtocol();

	/**
	 * Decodes a record of the stream of configurations.
	 * @param record the record, not null
	 * @return the configuration, or null if the record holds something else
	 * @throws org.wigeonglade.core.error.WigeongladeException if it cannot be decoded
	 */
	RoutingTable readConfiguration(KeyedRecord record);

	/**
	 * Decodes a registration of a runner.
	 * @param record the record, not null and with a value
	 * @return the registration, never null
	 * @throws org.wigeonglade.core.error.WigeongladeException if it cannot be decoded
	 */
	RunnerEntry readRunner(KeyedRecord record);

}
