package org.wigeonglade.entry.online;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;

/**
 * A single-threaded event loop that runs the tasks of one component of a host in order,
 * so that the component needs no locks.
 */
public final class EventLoop {

	private final Vertx vertx;

	private final Context context;

	private EventLoop(Vertx vertx, Context context) {
		this.vertx = vertx;
		this.context = context;
	}

	/**
	 * Creates an event loop on a thread of Vert.x.
	 * @param vertx the Vert.x instance, not null
	 * @return completes with the event loop
	 */
	public static Future<EventLoop> create(Vertx vertx) {
		ContextVerticle verticle = new ContextVerticle();
		return vertx.deployVerticle(verticle).map((id) -> new EventLoop(vertx, verticle.getCaptured()));
	}

	/**
	 * Runs a task on this event loop; immediately if called from it.
	 * @param task the task, not null
	 */
	public void execute(Runnable task) {
		if (Vertx.currentContext() == this.context) {
			task.run();
		}
		else {
			this.context.runOnContext((ignored) -> task.run());
		}
	}

	/**
	 * Runs a task on this event loop after a delay.
	 * @param delayMillis the delay in milliseconds, values below 1 count as 1
	 * @param task the task, not null
	 * @return an identifier for {@link #cancel}
	 */
	public long schedule(long delayMillis, Runnable task) {
		return this.vertx.setTimer(Math.max(1, delayMillis), (id) -> execute(task));
	}

	/**
	 * Runs a task on this event loop periodically.
	 * @param intervalMillis the interval in milliseconds, values below 1 count as 1
	 * @param task the task, not null
	 * @return an identifier for {@link #cancel}
	 */
	public long schedulePeriodic(long intervalMillis, Runnable task) {
		return this.vertx.setPeriodic(Math.max(1, intervalMillis), (id) -> execute(task));
	}

	/**
	 * Cancels a scheduled or periodic task.
	 * @param id the identifier that was returned when the task was scheduled
	 */
	public void cancel(long id) {
		this.vertx.cancelTimer(id);
	}

	private static final class ContextVerticle extends VerticleBase {

		private volatile Context captured;

		@Override
		public Future<?> start() {
			this.captured = this.context;
			return Future.succeededFuture();
		}

		private Context getCaptured() {
			return this.captured;
		}

	}

}
