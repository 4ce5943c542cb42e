package org.wigeonglade.cli;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import sun.misc.Signal;

/**
 * Waits for the signals that stop a process. The first one starts the planned stop, the
 * second one ends the process at once.
 */
final class StopSignals {

	private final AtomicInteger received = new AtomicInteger();

	private final CompletableFuture<Integer> exitCode = new CompletableFuture<>();

	private final IntSupplier planned;

	private final Runnable atOnce;

	private StopSignals(IntSupplier planned, Runnable atOnce) {
		this.planned = planned;
		this.atOnce = atOnce;
	}

	// The work at the second signal must be short, since the process ends right after it.
	static int await(IntSupplier planned, Runnable atOnce) {
		StopSignals signals = new StopSignals(planned, atOnce);
		for (String name : List.of("TERM", "INT")) {
			Signal.handle(new Signal(name), (signal) -> signals.receive());
		}
		try {
			return signals.exitCode.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.INTERNAL;
		}
		catch (ExecutionException ex) {
			throw new RemoteException(ErrorCode.INTERNAL, ExecutionState.UNKNOWN, "the planned stop failed",
					ex.getCause());
		}
	}

	// Signal handlers run on a thread of the JVM that must stay free for the next signal.
	private void receive() {
		int count = this.received.incrementAndGet();
		if (count == 1) {
			Thread.ofPlatform().name("planned-stop").start(this::stop);
		}
		else if (count == 2) {
			Thread.ofPlatform().name("immediate-stop").start(() -> {
				try {
					this.atOnce.run();
				}
				finally {
					Runtime.getRuntime().halt(ExitCode.INTERRUPTED);
				}
			});
		}
	}

	private void stop() {
		try {
			this.exitCode.complete(this.planned.getAsInt());
		}
		catch (RuntimeException ex) {
			this.exitCode.completeExceptionally(ex);
		}
	}

}
