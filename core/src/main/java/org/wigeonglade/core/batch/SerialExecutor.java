package org.wigeonglade.core.batch;

import java.time.Duration;
import java.util.concurrent.Executor;

import io.smallrye.mutiny.subscription.Cancellable;

/**
 * Serial executor: runs tasks one at a time and in order, with delays if wanted, so that
 * the state of a partition needs no locks.
 */
public interface SerialExecutor extends Executor {

	/**
	 * Runs a task after a delay.
	 * @param delay the delay, not negative
	 * @param task the task
	 * @return handle that cancels the task if it has not begun
	 */
	Cancellable schedule(Duration delay, Runnable task);

}
