package org.wigeonglade.core.batch;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.smallrye.mutiny.subscription.Cancellable;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.schema.generated.log.LogEntry;

/**
 * Entries that wait for their append, with the future of their offset.
 */
final class PendingAppend {

	private final List<LogEntry> entries;

	private final int bytes;

	private final boolean interactive;

	private final BooleanSupplier wanted;

	private final long queuedMillis;

	private final CompletableFuture<Long> future = new CompletableFuture<>();

	private Cancellable timer = () -> {
	};

	PendingAppend(List<LogEntry> entries, boolean interactive, BooleanSupplier wanted, long queuedMillis) {
		this.entries = List.copyOf(entries);
		this.bytes = entries.stream().mapToInt(LogEntry::getSerializedSize).sum();
		this.interactive = interactive;
		this.wanted = wanted;
		this.queuedMillis = queuedMillis;
	}

	List<LogEntry> getEntries() {
		return this.entries;
	}

	int getBytes() {
		return this.bytes;
	}

	boolean isInteractive() {
		return this.interactive;
	}

	boolean isWanted() {
		return this.wanted.getAsBoolean() && !this.future.isDone();
	}

	long getQueuedMillis() {
		return this.queuedMillis;
	}

	CompletableFuture<Long> getFuture() {
		return this.future;
	}

	void setTimer(Cancellable timer) {
		this.timer = timer;
	}

	void complete(long offset) {
		this.timer.cancel();
		this.future.complete(offset);
	}

	void fail(ErrorCode code, String message, Throwable cause) {
		this.timer.cancel();
		this.future.completeExceptionally(new PlatformException(code, message, cause));
	}

}
