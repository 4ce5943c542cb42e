package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import io.smallrye.mutiny.subscription.Cancellable;
import org.wigeonglade.core.batch.BatchEvent;
import org.wigeonglade.core.batch.SerialExecutor;
import org.wigeonglade.core.event.EventLogger;

/**
 * Executor with one daemon thread, which logs exceptions of tasks. Tasks submitted after
 * {@link #close()} are dropped, as are tasks whose delay has not elapsed by then.
 */
final class SingleThreadExecutor implements SerialExecutor {

	private static final EventLogger LOG = EventLogger.of(SingleThreadExecutor.class);

	private final ScheduledThreadPoolExecutor executor;

	SingleThreadExecutor(String name) {
		this.executor = new ScheduledThreadPoolExecutor(1,
				(task) -> Thread.ofPlatform().daemon().name(name).unstarted(task));
		this.executor.setRemoveOnCancelPolicy(true);
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
	}

	@Override
	public void execute(Runnable task) {
		try {
			this.executor.execute(logFailures(task));
		}
		catch (RejectedExecutionException ex) {
			// Closed when the host stopped; the task must not run.
			return;
		}
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		try {
			ScheduledFuture<?> future = this.executor.schedule(logFailures(task), delay.toNanos(),
					TimeUnit.NANOSECONDS);
			return () -> future.cancel(false);
		}
		catch (RejectedExecutionException ex) {
			return () -> {
			};
		}
	}

	void close() {
		this.executor.shutdown();
	}

	private static Runnable logFailures(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LOG.log(BatchEvent.TASK_FAILED, ex, null, task.getClass().getSimpleName());
			}
		};
	}

}
