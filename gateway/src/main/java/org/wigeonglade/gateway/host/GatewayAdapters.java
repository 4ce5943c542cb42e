package org.wigeonglade.gateway.host;

import io.netty.channel.EventLoop;
import org.wigeonglade.gateway.caller.CallerProtocol;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.http.Connector;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.runner.RunnerProtocol;
import org.wigeonglade.gateway.store.KeyedLog;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.PartitionedLog;

/**
 * Adapts the gateway to a platform: its store and its wire formats.
 */
public interface GatewayAdapters {

	/**
	 * Returns a client of the platform's store.
	 * @param connector opens connections, not null
	 * @param loop the event loop on which the client is used, not null
	 * @return the client, never null
	 */
	KeyedLog openLog(Connector connector, EventLoop loop);

	/**
	 * Returns a client of the log of stream origins.
	 * @param connector opens connections, not null
	 * @param loop the event loop on which the client is used, not null
	 * @return the client, never null
	 */
	PartitionedLog openOriginLog(Connector connector, EventLoop loop);

	/**
	 * Returns the wire format of requests from callers and of the responses to them.
	 * @return the format, never null
	 */
	CallerProtocol getCallerProtocol();

	/**
	 * Returns the format of the headers exchanged with runners.
	 * @return the format, never null
	 */
	RunnerProtocol getRunnerProtocol();

	/**
	 * Decodes a record of the configuration stream.
	 * @param record the record, not null
	 * @return the configuration, or null if the record is of another kind
	 * @throws org.wigeonglade.core.error.WigeongladeException if it cannot be decoded
	 */
	RoutingTable readConfiguration(KeyedRecord record);

	/**
	 * Decodes the registration of a runner.
	 * @param record the record with a value other than null, not null
	 * @return the registration, never null
	 * @throws org.wigeonglade.core.error.WigeongladeException if it cannot be decoded
	 */
	RunnerEntry readRunner(KeyedRecord record);

}
