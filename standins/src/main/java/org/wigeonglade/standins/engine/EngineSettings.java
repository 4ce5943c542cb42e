package org.wigeonglade.standins.engine;

import java.util.List;

import io.vertx.core.Vertx;

/**
 * Builder of an engine stand-in. Not thread-safe.
 */
public final class EngineSettings {

	Vertx vertx;

	int port;

	int slots = 8;

	int maxQueue = 10_000;

	long tokenMicros = 2000;

	long prefillMicrosPerToken = 20;

	int cacheBlocks = 1024;

	long loadLagMillis = 200;

	long cacheEventDelayMillis = 200;

	int cacheEventGapEvery;

	boolean checksTerm = true;

	String crashMarker = "[crash]";

	long restartMillis = -1;

	List<String> models = List.of();

	String weightStoreUrl = "";

	long loadMillis = 50;

	EngineSettings() {
	}

	/**
	 * Shares a Vert.x instance; without this call the engine creates one.
	 * @param value the instance, not null
	 * @return these settings
	 */
	public EngineSettings vertx(Vertx value) {
		this.vertx = value;
		return this;
	}

	/**
	 * Sets the port of the HTTP server.
	 * @param value the port, 0 for a free one
	 * @return these settings
	 */
	public EngineSettings port(int value) {
		this.port = value;
		return this;
	}

	/**
	 * Sets the number of streams that are generated concurrently.
	 * @param value the number, at least 1
	 * @return these settings
	 */
	public EngineSettings slots(int value) {
		this.slots = value;
		return this;
	}

	/**
	 * Limits the number of waiting streams; further requests are rejected with status
	 * 429.
	 * @param value the number, at least 0
	 * @return these settings
	 */
	public EngineSettings maxQueue(int value) {
		this.maxQueue = value;
		return this;
	}

	/**
	 * Sets the time between two tokens of a stream.
	 * @param value microseconds, at least 1
	 * @return these settings
	 */
	public EngineSettings tokenMicros(long value) {
		this.tokenMicros = value;
		return this;
	}

	/**
	 * Sets the time to process one prompt token that is not cached.
	 * @param value microseconds, at least 0
	 * @return these settings
	 */
	public EngineSettings prefillMicrosPerToken(long value) {
		this.prefillMicrosPerToken = value;
		return this;
	}

	/**
	 * Sets the capacity of the prefix cache.
	 * @param value blocks of {@value PrefixCache#BLOCK_CHARS} characters, 0 for no cache
	 * @return these settings
	 */
	public EngineSettings cacheBlocks(int value) {
		this.cacheBlocks = value;
		return this;
	}

	/**
	 * Sets the age of the load that load reports show.
	 * @param value milliseconds
	 * @return these settings
	 */
	public EngineSettings loadLagMillis(long value) {
		this.loadLagMillis = value;
		return this;
	}

	/**
	 * Sets the delay until a cache event is visible.
	 * @param value milliseconds
	 * @return these settings
	 */
	public EngineSettings cacheEventDelayMillis(long value) {
		this.cacheEventDelayMillis = value;
		return this;
	}

	/**
	 * Omits every n-th cache event, as a lossy event stream does.
	 * @param value n, 0 to omit none
	 * @return these settings
	 */
	public EngineSettings cacheEventGapEvery(int value) {
		this.cacheEventGapEvery = value;
		return this;
	}

	/**
	 * Sets whether commands with a stale fencing token are rejected.
	 * @param value false to accept every command
	 * @return these settings
	 */
	public EngineSettings checksTerm(boolean value) {
		this.checksTerm = value;
		return this;
	}

	/**
	 * Sets the text that crashes the engine when a prompt contains it.
	 * @param value the marker, not empty
	 * @return these settings
	 */
	public EngineSettings crashMarker(String value) {
		this.crashMarker = value;
		return this;
	}

	/**
	 * Sets the time until a crashed engine restarts under a new incarnation.
	 * @param value milliseconds, negative for no restart
	 * @return these settings
	 */
	public EngineSettings restartMillis(long value) {
		this.restartMillis = value;
		return this;
	}

	/**
	 * Sets the models loaded at the start; requests for others are rejected.
	 * @param value the names, empty to accept every model
	 * @return these settings
	 */
	public EngineSettings models(List<String> value) {
		this.models = List.copyOf(value);
		return this;
	}

	/**
	 * Sets the weight store that models are loaded from.
	 * @param value the URL, empty for a fixed load time
	 * @return these settings
	 */
	public EngineSettings weightStoreUrl(String value) {
		this.weightStoreUrl = value;
		return this;
	}

	/**
	 * Sets the time to load a model when no weight store is set.
	 * @param value milliseconds
	 * @return these settings
	 */
	public EngineSettings loadMillis(long value) {
		this.loadMillis = value;
		return this;
	}

	/**
	 * Starts the engine and blocks until it accepts connections.
	 * @return the started engine, never null
	 */
	public EngineStandIn start() {
		return EngineStandIn.start(this);
	}

}
