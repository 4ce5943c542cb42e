package org.wigeonglade.bench.fleet;

import java.lang.management.ManagementFactory;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;

/**
 * Sums up the processor time of the event loops of one Vert.x instance.
 */
final class ThreadCost {

	private final Set<Long> threads = ConcurrentHashMap.newKeySet();

	private ThreadCost() {
	}

	static ThreadCost of(Vertx vertx, int eventLoops) {
		ThreadCost cost = new ThreadCost();
		// New contexts take the event loops in turn.
		CountDownLatch seen = new CountDownLatch(2 * eventLoops);
		for (int i = 0; i < 2 * eventLoops; i++) {
			((VertxInternal) vertx).createEventLoopContext().runOnContext((ignored) -> {
				cost.threads.add(Thread.currentThread().threadId());
				seen.countDown();
			});
		}
		try {
			if (!seen.await(10, TimeUnit.SECONDS)) {
				throw new PlatformException(ErrorCode.INTERNAL, "the event loops did not start", null);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PlatformException(ErrorCode.INTERNAL, "interrupted", ex);
		}
		return cost;
	}

	long getNanos() {
		return this.threads.stream()
			.mapToLong((id) -> ManagementFactory.getThreadMXBean().getThreadCpuTime(id))
			.filter((nanos) -> nanos > 0)
			.sum();
	}

}
