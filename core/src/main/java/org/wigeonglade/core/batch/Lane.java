package org.wigeonglade.core.batch;

import java.time.Duration;
import java.util.concurrent.Executor;

import io.smallrye.mutiny.subscription.Cancellable;

/**
 * Runs tasks one after the other on one thread, so that the state of a partition needs no
 * locks. Tests drive one by hand.
 */
public interface Lane extends Executor {

	/**
	 * Runs a task later.
	 * @param delay the delay, not negative
	 * @param task the task
	 * @return cancels the task if it has not begun
	 */
	Cancellable schedule(Duration delay, Runnable task);

}
