package org.wigeonglade.core.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

import io.smallrye.mutiny.subscription.Cancellable;
import org.wigeonglade.core.time.ManualTicker;

/**
 * Serial executor driven by the test: runs tasks on the calling thread, with a manual
 * clock.
 */
final class ManualExecutor implements SerialExecutor {

	private final ManualTicker ticker = ManualTicker.startingAt(1_000_000L);

	private final Deque<Runnable> ready = new ArrayDeque<>();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(
			Comparator.comparingLong(Timer::dueMillis).thenComparingLong(Timer::number));

	private long nextNumber;

	ManualTicker getTicker() {
		return this.ticker;
	}

	@Override
	public void execute(Runnable task) {
		this.ready.add(task);
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		Timer timer = new Timer(this.ticker.millis() + delay.toMillis(), this.nextNumber++, task);
		this.timers.add(timer);
		return () -> this.timers.remove(timer);
	}

	void runReady() {
		while (!this.ready.isEmpty()) {
			this.ready.poll().run();
		}
	}

	void advance(long millis) {
		long end = this.ticker.millis() + millis;
		runReady();
		while (!this.timers.isEmpty() && this.timers.peek().dueMillis() <= end) {
			Timer timer = this.timers.poll();
			long step = Math.max(0, timer.dueMillis() - this.ticker.millis());
			this.ticker.advance(Duration.ofMillis(step));
			timer.task().run();
			runReady();
		}
		this.ticker.advance(Duration.ofMillis(Math.max(0, end - this.ticker.millis())));
	}

	/**
	 * Scheduled task.
	 *
	 * @param dueMillis the time at which it runs
	 * @param number the order among tasks of the same time
	 * @param task the task
	 */
	private record Timer(long dueMillis, long number, Runnable task) {
	}

}
