package org.wigeonglade.standins.engine;

import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import org.wigeonglade.standins.FaultSchedule;
import org.wigeonglade.standins.StandInServer;

/**
 * Test double of a model engine, with completions over server-sent events, load reports,
 * cache events, commands, and export and import of cache blocks. Thread-safe.
 */
public final class EngineStandIn {

	private final StandInServer server;

	private final EngineSettings settings;

	private final EngineRecorder recorder = new EngineRecorder();

	private final EngineState state;

	private final FaultSchedule faults = new FaultSchedule();

	private volatile EngineScheduler scheduler;

	private volatile long incarnation = 1;

	private volatile boolean down;

	private EngineStandIn(EngineSettings settings) {
		this.settings = settings;
		this.server = StandInServer.create(settings.vertx, settings.port);
		this.state = new EngineState(this.server.getVertx(), settings);
		this.scheduler = newScheduler();
	}

	/**
	 * Returns a builder with the default settings.
	 * @return a new builder, never null
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
	 * Returns the port of the HTTP server.
	 * @return the port, kept across restarts
	 */
	public int port() {
		return this.server.getPort();
	}

	/**
	 * Returns the address of the HTTP server.
	 * @return {@code ip:port}, never null
	 */
	public String address() {
		return "127.0.0.1:" + port();
	}

	/**
	 * Returns the recorder of executed requests.
	 * @return the recorder, kept across restarts, never null
	 */
	public EngineRecorder recorder() {
		return this.recorder;
	}

	/**
	 * Returns the loaded models and the state of commands.
	 * @return the state, never null
	 */
	public EngineState state() {
		return this.state;
	}

	/**
	 * Returns the fault schedule, in which the name of a call is its HTTP path.
	 * @return the schedule, never null
	 */
	public FaultSchedule faults() {
		return this.faults;
	}

	/**
	 * Returns the incarnation of the engine.
	 * @return 1 at first, incremented by each restart
	 */
	public long incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns whether the engine listens.
	 * @return false after a crash or kill until the restart
	 */
	public boolean isAlive() {
		return !this.down;
	}

	/**
	 * Suspends or resumes the engine; connections stay open.
	 * @param frozen whether to suspend
	 */
	public void freeze(boolean frozen) {
		this.scheduler.freeze(frozen);
	}

	/**
	 * Sets whether streams end with the finish reason and the {@code [DONE]} event.
	 * @param written false to end streams without them
	 */
	public void setDoneMarker(boolean written) {
		this.scheduler.setDoneMarker(written);
	}

	/**
	 * Closes the listener and all connections immediately, as a killed process does.
	 */
	public void kill() {
		this.down = true;
		this.scheduler.failAll();
		StandInServer.await(this.server.closeNow());
	}

	/**
	 * Restarts a killed or crashed engine on the same port with a new incarnation.
	 */
	public void restart() {
		beginIncarnation();
		StandInServer.await(this.server.listen());
	}

	/**
	 * Stops the engine permanently.
	 */
	public void stop() {
		this.down = true;
		this.scheduler.failAll();
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
		return new EngineScheduler(this.server.getVertx(), this.settings, this.recorder, this::crash);
	}

	private void crash() {
		if (this.down) {
			return;
		}
		this.down = true;
		this.recorder.recordCrash();
		this.scheduler.failAll();
		this.server.closeNow().onComplete((done) -> {
			if (this.settings.restartMillis >= 0) {
				long delay = Math.max(1, this.settings.restartMillis);
				vertx().setTimer(delay, (id) -> {
					beginIncarnation();
					this.server.listen();
				});
			}
		});
	}

	private void beginIncarnation() {
		this.incarnation++;
		this.scheduler = newScheduler();
		this.state.reset();
		this.down = false;
	}

}
