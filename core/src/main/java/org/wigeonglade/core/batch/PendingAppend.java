package org.wigeonglade.core.batch;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.smallrye.mutiny.subscription.Cancellable;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.schema.generated.log.LogEntry;

/**
 * Entries of one call that wait to be appended, with the future of their offset. Confined
 * to the executor of the log writer.
 */
final class PendingAppend {

	private final List<LogEntry> entries;

	private final int bytes;

	private final boolean interactive;

	private final BooleanSupplier condition;

	private final long queuedMillis;

	private final CompletableFuture<Long> future = new CompletableFuture<>();

	private Cancellable timer = () -> {
	};

	PendingAppend(List<LogEntry> entries, boolean interactive, BooleanSupplier condition, long queuedMillis) {
		this.entries = List.copyOf(entries);
		this.bytes = entries.stream().mapToInt(LogEntry::getSerializedSize).sum();
		this.interactive = interactive;
		this.condition = condition;
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

	boolean isNeeded() {
		return this.condition.getAsBoolean() && !this.future.isDone();
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
