package org.wigeonglade.standins.engine;

import java.util.List;

import io.vertx.core.Vertx;

/**
 * Collects the settings of an engine stand-in; {@link #start()} starts it.
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
	 * Shares event loops.
	 * @param value the event loops, not null
	 * @return these settings
	 */
	public EngineSettings vertx(Vertx value) {
		this.vertx = value;
		return this;
	}

	/**
	 * Sets the port.
	 * @param value the port, 0 for a free one
	 * @return these settings
	 */
	public EngineSettings port(int value) {
		this.port = value;
		return this;
	}

	/**
	 * Sets the number of streams generated at once.
	 * @param value the number, at least 1
	 * @return these settings
	 */
	public EngineSettings slots(int value) {
		this.slots = value;
		return this;
	}

	/**
	 * Limits the number of waiting streams; more are refused with status 429.
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
	 * Sets the memory of the prefix cache.
	 * @param value blocks of {@value PrefixCache#BLOCK_CHARS} characters, 0 for no cache
	 * @return these settings
	 */
	public EngineSettings cacheBlocks(int value) {
		this.cacheBlocks = value;
		return this;
	}

	/**
	 * Sets the lag of load reports.
	 * @param value milliseconds
	 * @return these settings
	 */
	public EngineSettings loadLagMillis(long value) {
		this.loadLagMillis = value;
		return this;
	}

	/**
	 * Sets the delay of cache events.
	 * @param value milliseconds
	 * @return these settings
	 */
	public EngineSettings cacheEventDelayMillis(long value) {
		this.cacheEventDelayMillis = value;
		return this;
	}

	/**
	 * Leaves out each n-th cache event.
	 * @param value the distance of gaps, 0 for no gaps
	 * @return these settings
	 */
	public EngineSettings cacheEventGapEvery(int value) {
		this.cacheEventGapEvery = value;
		return this;
	}

	/**
	 * Sets whether commands with a stale fencing token are rejected.
	 * @param value whether terms are checked
	 * @return these settings
	 */
	public EngineSettings checksTerm(boolean value) {
		this.checksTerm = value;
		return this;
	}

	/**
	 * Sets the text in a prompt that crashes the engine.
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
	 * Sets the loaded models; requests for others are rejected.
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
	 * Sets the load time without a weight store.
	 * @param value milliseconds
	 * @return these settings
	 */
	public EngineSettings loadMillis(long value) {
		this.loadMillis = value;
		return this;
	}

	/**
	 * Starts the engine.
	 * @return the started engine, never null
	 */
	public EngineStandIn start() {
		return EngineStandIn.start(this);
	}

}
