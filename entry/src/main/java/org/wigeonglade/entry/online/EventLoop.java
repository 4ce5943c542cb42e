package org.wigeonglade.entry.online;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;

/**
 * One event loop that runs all tasks of one part of a host in order, so that this part
 * needs no locks.
 */
public final class EventLoop {

	private final Vertx vertx;

	private final Context context;

	private EventLoop(Vertx vertx, Context context) {
		this.vertx = vertx;
		this.context = context;
	}

	/**
	 * Takes an event loop.
	 * @param vertx the event loops, not null
	 * @return completes with the event loop
	 */
	public static Future<EventLoop> create(Vertx vertx) {
		Holder holder = new Holder();
		return vertx.deployVerticle(holder).map((id) -> new EventLoop(vertx, holder.taken()));
	}

	/**
	 * Runs a task, at once when called on this event loop.
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
	 * Runs a task on this event loop again and again.
	 * @param intervalMillis the interval in milliseconds, at least 1
	 * @param task the task, not null
	 * @return an identifier for {@link #cancel}
	 */
	public long every(long intervalMillis, Runnable task) {
		return this.vertx.setPeriodic(Math.max(1, intervalMillis), (id) -> execute(task));
	}

	/**
	 * Cancels a scheduled task.
	 * @param id the identifier
	 */
	public void cancel(long id) {
		this.vertx.cancelTimer(id);
	}

	private static final class Holder extends VerticleBase {

		private volatile Context own;

		@Override
		public Future<?> start() {
			this.own = this.context;
			return Future.succeededFuture();
		}

		private Context taken() {
			return this.own;
		}

	}

}
