package org.wigeonglade.core.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;

/**
 * Reader that replays the stream of a partition up to its head on request. Concurrent
 * requests share reads. Confined to the executor of the partition, but {@link #catchUp()}
 * may be called by any thread.
 */
public final class PartitionFollower {

	private static final int FIRST_RECORDS_PER_READ = 16;

	private static final int MAX_RECORDS_PER_READ = 512;

	/**
	 * Target size of one read, small enough to be decoded without a noticeable delay of
	 * other tasks.
	 */
	private static final int BYTES_PER_READ = 2 * 1024 * 1024;

	private final StreamName stream;

	private final LogService log;

	private final SerialExecutor executor;

	private final Supplier<Uni<Long>> findSnapshot;

	private final ReplayObserver observer;

	private final List<PendingCatchUp> pending = new ArrayList<>();

	private PartitionReader reader;

	private int recordsPerRead = FIRST_RECORDS_PER_READ;

	private long oldestOffset;

	private long headOffset;

	private boolean reading;

	private boolean closed;

	private volatile long appliedOffset = -1;

	private volatile boolean failing;

	/**
	 * Creates a follower that has read nothing.
	 * @param stream the stream of the partition
	 * @param log the log service
	 * @param executor runs all tasks of the follower
	 * @param findSnapshot looks up the offset of the last snapshot, 0 if there is none
	 * @param observer receives the changes
	 */
	public PartitionFollower(StreamName stream, LogService log, SerialExecutor executor,
			Supplier<Uni<Long>> findSnapshot, ReplayObserver observer) {
		this.stream = stream;
		this.log = log;
		this.executor = executor;
		this.findSnapshot = findSnapshot;
		this.observer = observer;
	}

	/**
	 * Reads to the head of the stream as of the call or later.
	 * @return the state, emitted on the executor and to be used there only; fails with
	 * {@link PlatformException} if the log cannot be read
	 */
	public Uni<PartitionState> catchUp() {
		CompletableFuture<PartitionState> future = new CompletableFuture<>();
		this.executor.execute(() -> {
			if (this.closed) {
				future.completeExceptionally(
						new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the host is stopping", null));
				return;
			}
			this.pending.add(new PendingCatchUp(future));
			read();
		});
		return Uni.createFrom().completionStage(future).emitOn(this.executor);
	}

	/**
	 * Returns the last applied offset; may be called by any thread.
	 * @return the offset, -1 if nothing was applied
	 */
	public long getAppliedOffset() {
		return this.appliedOffset;
	}

	/**
	 * Returns whether the last read failed; may be called by any thread.
	 * @return true during an outage
	 */
	public boolean isFailing() {
		return this.failing;
	}

	/**
	 * Returns whether records expired before a snapshot covered them; executor only.
	 * @return true if jobs may be missing
	 */
	public boolean isHistoryLost() {
		return this.reader != null && this.reader.isHistoryLost();
	}

	/**
	 * Returns the oldest retained offset as of the last read; executor only.
	 * @return at least 0
	 */
	public long getOldestOffset() {
		return this.oldestOffset;
	}

	/**
	 * Returns the head of the stream as of the last read; executor only.
	 * @return at least 0
	 */
	public long getHeadOffset() {
		return this.headOffset;
	}

	/**
	 * Stops reading; pending calls fail.
	 */
	public void close() {
		this.executor.execute(() -> {
			this.closed = true;
			failPending(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the host is stopping", null));
		});
	}

	private void read() {
		if (this.reading || this.closed) {
			return;
		}
		this.reading = true;
		Uni<Long> start = (this.reader != null) ? Uni.createFrom().item(-1L)
				: Uni.createFrom().deferred(this.findSnapshot::get);
		this.pending.forEach((call) -> call.covered = true);
		start.chain((at) -> {
			long from = (this.reader != null) ? this.reader.getNextOffset() : at;
			return this.log.read(this.stream, from, this.recordsPerRead).map((slice) -> new ReadResult(from, slice));
		})
			.subscribe()
			.with((read) -> this.executor.execute(() -> handleSlice(read)),
					(failure) -> this.executor.execute(() -> fail(failure)));
	}

	private void handleSlice(ReadResult read) {
		this.reading = false;
		if (this.closed) {
			return;
		}
		this.failing = false;
		if (this.reader == null) {
			this.reader = new PartitionReader(read.from, this.observer);
		}
		this.reader.offer(read.slice);
		this.oldestOffset = read.slice.oldestOffset();
		this.headOffset = read.slice.headOffset();
		adaptReadSize(read.slice);
		this.appliedOffset = this.reader.getState().getAppliedOffset();
		if (this.reader.isCurrent()) {
			List<PendingCatchUp> done = this.pending.stream().filter((call) -> call.covered).toList();
			this.pending.removeAll(done);
			done.forEach((call) -> call.future.complete(this.reader.getState()));
		}
		if (!this.pending.isEmpty()) {
			read();
		}
	}

	private void adaptReadSize(LogSlice slice) {
		if (!slice.records().isEmpty()) {
			long bytes = slice.records().stream().mapToLong((stored) -> stored.payload().length).sum();
			long average = Math.max(1, bytes / slice.records().size());
			this.recordsPerRead = (int) Math.max(4, Math.min(MAX_RECORDS_PER_READ, BYTES_PER_READ / average));
		}
	}

	private void fail(Throwable failure) {
		this.reading = false;
		this.failing = true;
		failPending(failure);
	}

	private void failPending(Throwable failure) {
		List<PendingCatchUp> failed = List.copyOf(this.pending);
		this.pending.clear();
		failed.forEach((call) -> call.future.completeExceptionally(failure));
	}

	/**
	 * Result of one read.
	 *
	 * @param from the requested offset
	 * @param slice the records read
	 */
	private record ReadResult(long from, LogSlice slice) {
	}

	/**
	 * Call that waits for a read that begins after it.
	 */
	private static final class PendingCatchUp {

		private final CompletableFuture<PartitionState> future;

		private boolean covered;

		PendingCatchUp(CompletableFuture<PartitionState> future) {
			this.future = future;
		}

	}

}
