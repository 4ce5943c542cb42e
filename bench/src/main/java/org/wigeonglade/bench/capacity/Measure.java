package org.wigeonglade.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;

/**
 * Measures processor time and retained heap of a piece of work.
 */
final class Measure {

	/** The compiler has finished its work after this time. */
	private static final long WARM_UP_NANOS = 1_000_000_000L;

	private static final long MEASURE_NANOS = 1_000_000_000L;

	private static final int MIN_ROUNDS = 9;

	private static final int COLLECTIONS = 4;

	private static final long SETTLE_MILLIS = 30;

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	private Measure() {
	}

	// The median processor time in nanoseconds. The result of the work is kept, so that
	// the
	// compiler does not drop the work.
	static double cpuNanos(Supplier<?> work) {
		List<Double> nanos = new ArrayList<>();
		int kept = 0;
		long begin = System.nanoTime();
		while (System.nanoTime() - begin < WARM_UP_NANOS) {
			kept += System.identityHashCode(work.get());
		}
		begin = System.nanoTime();
		while (nanos.size() < MIN_ROUNDS || System.nanoTime() - begin < MEASURE_NANOS) {
			long start = THREADS.getCurrentThreadCpuTime();
			kept += System.identityHashCode(work.get());
			nanos.add((double) (THREADS.getCurrentThreadCpuTime() - start));
		}
		if (kept == 0) {
			throw new IllegalStateException("the work returned no object");
		}
		Collections.sort(nanos);
		return nanos.get(nanos.size() / 2);
	}

	static double retainedBytes(Supplier<?> work) {
		work.get();
		long before = usedHeap();
		Object kept = work.get();
		long after = usedHeap();
		if (kept == null) {
			throw new IllegalStateException("the work returned no object");
		}
		Reference.reachabilityFence(kept);
		return after - before;
	}

	static long usedHeap() {
		for (int i = 0; i < COLLECTIONS; i++) {
			System.gc();
			sleep(SETTLE_MILLIS);
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
