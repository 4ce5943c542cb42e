package org.wigeonglade.standins.engine;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.standins.FaultScript;
import org.wigeonglade.standins.StandInServer;

/**
 * Behaves like a model engine: completions over server-sent events, load reports, cache
 * events, commands, cache export and import. Thread-safe.
 */
public final class EngineStandIn {

	private final StandInServer server;

	private final EngineSettings settings;

	private final EngineLedger ledger = new EngineLedger();

	private final EngineState state;

	private final FaultScript faults = new FaultScript();

	private volatile EngineScheduler scheduler;

	private volatile long incarnation = 1;

	private volatile boolean dead;

	private EngineStandIn(EngineSettings settings) {
		this.settings = settings;
		this.server = StandInServer.create(settings.vertx, settings.port);
		this.state = new EngineState(this.server.getVertx(), settings);
		this.scheduler = newScheduler();
	}

	/**
	 * Returns settings to change and start.
	 * @return settings with defaults, never null
	 */
	public static EngineSettings builder() {
		return new EngineSettings();
	}

	static EngineStandIn start(EngineSettings settings) {
		EngineStandIn engine = new EngineStandIn(settings);
		Router router = Router.router(engine.server.getVertx());
		router.route().handler(BodyHandler.create(false));
		new EngineRoutes(engine).register(router);
		engine.server.start(router);
		return engine;
	}

	/**
	 * Returns the port.
	 * @return the port, the same over restarts
	 */
	public int port() {
		return this.server.getPort();
	}

	/**
	 * Returns the address.
	 * @return {@code ip:port}, never null
	 */
	public String address() {
		return "127.0.0.1:" + port();
	}

	/**
	 * Returns the independent count of what ran.
	 * @return the ledger, never null
	 */
	public EngineLedger ledger() {
		return this.ledger;
	}

	/**
	 * Returns the loaded models and the state of commands.
	 * @return the state, never null
	 */
	public EngineState state() {
		return this.state;
	}

	/**
	 * Returns the scheduled faults; the name is the HTTP path.
	 * @return the script, never null
	 */
	public FaultScript faults() {
		return this.faults;
	}

	/**
	 * Returns the incarnation.
	 * @return 1 at first, one more after each restart
	 */
	public long incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns whether the engine listens.
	 * @return false after a crash or kill until the restart
	 */
	public boolean isAlive() {
		return !this.dead;
	}

	/**
	 * Stops progress without closing connections, or continues.
	 * @param frozen whether to stop
	 */
	public void freeze(boolean frozen) {
		this.scheduler.freeze(frozen);
	}

	/**
	 * Sets whether complete streams get their end mark.
	 * @param written false to end streams without it
	 */
	public void endMark(boolean written) {
		this.scheduler.endMark(written);
	}

	/**
	 * Drops the listener and all connections at once.
	 */
	public void kill() {
		this.dead = true;
		this.scheduler.loseAll();
		StandInServer.await(this.server.drop());
	}

	/**
	 * Starts again after a kill or crash, on the same port under a new incarnation.
	 */
	public void restart() {
		renew();
		StandInServer.await(this.server.listen());
	}

	/**
	 * Stops the engine for good.
	 */
	public void stop() {
		this.dead = true;
		this.scheduler.loseAll();
		this.server.stop();
	}

	EngineScheduler scheduler() {
		return this.scheduler;
	}

	EngineSettings settings() {
		return this.settings;
	}

	Vertx vertx() {
		return this.server.getVertx();
	}

	private EngineScheduler newScheduler() {
		return new EngineScheduler(this.server.getVertx(), this.settings, this.ledger, this::crash);
	}

	private void crash() {
		if (this.dead) {
			return;
		}
		this.dead = true;
		this.ledger.recordCrash();
		this.scheduler.loseAll();
		this.server.drop().onComplete((done) -> {
			if (this.settings.restartMillis >= 0) {
				long delay = Math.max(1, this.settings.restartMillis);
				vertx().setTimer(delay, (id) -> {
					renew();
					this.server.listen();
				});
			}
		});
	}

	private void renew() {
		this.incarnation++;
		this.scheduler = newScheduler();
		this.state.reset();
		this.dead = false;
	}

}
