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
 * Reads the stream of a partition forward and applies it. Confined to its lane, but
 * {@link #catchUp()} may be called by any thread.
 */
public final class PartitionFollower {

	private static final int FIRST_RECORDS_PER_READ = 16;

	private static final int MAX_RECORDS_PER_READ = 512;

	/** Size of an answer that is decoded without delaying other work noticeably. */
	private static final int BYTES_PER_READ = 2 * 1024 * 1024;

	private final StreamName stream;

	private final LogService log;

	private final Lane lane;

	private final Supplier<Uni<Long>> pointer;

	private final ReplayObserver observer;

	private final List<Waiter> waiters = new ArrayList<>();

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
	 * @param log the log
	 * @param lane runs everything
	 * @param pointer finds the offset of the last snapshot, 0 if none is known
	 * @param observer is told the changes
	 */
	public PartitionFollower(StreamName stream, LogService log, Lane lane, Supplier<Uni<Long>> pointer,
			ReplayObserver observer) {
		this.stream = stream;
		this.log = log;
		this.lane = lane;
		this.pointer = pointer;
		this.observer = observer;
	}

	/**
	 * Reads to the head of the stream as it is at the time of the call or later.
	 * @return the state, given on the lane and to be used there only; fails with
	 * {@link PlatformException} if the log cannot be read
	 */
	public Uni<PartitionState> catchUp() {
		CompletableFuture<PartitionState> future = new CompletableFuture<>();
		this.lane.execute(() -> {
			if (this.closed) {
				future.completeExceptionally(
						new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the host is stopping", null));
				return;
			}
			this.waiters.add(new Waiter(future));
			read();
		});
		return Uni.createFrom().completionStage(future).emitOn(this.lane);
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
	 * Returns whether older records had expired before any snapshot covered them; to be
	 * called on the lane.
	 * @return true if jobs may be missing
	 */
	public boolean isLossy() {
		return this.reader != null && this.reader.isLossy();
	}

	/**
	 * Returns the oldest retained offset at the last read; to be called on the lane.
	 * @return at least 0
	 */
	public long getOldestOffset() {
		return this.oldestOffset;
	}

	/**
	 * Returns the head of the stream at the last read; to be called on the lane.
	 * @return at least 0
	 */
	public long getHeadOffset() {
		return this.headOffset;
	}

	/**
	 * Stops reading; waiting callers fail.
	 */
	public void close() {
		this.lane.execute(() -> {
			this.closed = true;
			failWaiters(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the host is stopping", null));
		});
	}

	private void read() {
		if (this.reading || this.closed) {
			return;
		}
		this.reading = true;
		Uni<Long> start = (this.reader != null) ? Uni.createFrom().item(-1L)
				: Uni.createFrom().deferred(this.pointer::get);
		this.waiters.forEach((waiter) -> waiter.covered = true);
		start.chain((at) -> {
			long from = (this.reader != null) ? this.reader.getNextOffset() : at;
			return this.log.read(this.stream, from, this.recordsPerRead).map((slice) -> new Read(from, slice));
		})
			.subscribe()
			.with((read) -> this.lane.execute(() -> take(read)), (failure) -> this.lane.execute(() -> fail(failure)));
	}

	private void take(Read read) {
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
		adaptReads(read.slice);
		this.appliedOffset = this.reader.getState().getAppliedOffset();
		if (this.reader.isCurrent()) {
			List<Waiter> done = this.waiters.stream().filter((waiter) -> waiter.covered).toList();
			this.waiters.removeAll(done);
			done.forEach((waiter) -> waiter.future.complete(this.reader.getState()));
		}
		if (!this.waiters.isEmpty()) {
			read();
		}
	}

	private void adaptReads(LogSlice slice) {
		if (!slice.records().isEmpty()) {
			long bytes = slice.records().stream().mapToLong((stored) -> stored.payload().length).sum();
			long average = Math.max(1, bytes / slice.records().size());
			this.recordsPerRead = (int) Math.max(4, Math.min(MAX_RECORDS_PER_READ, BYTES_PER_READ / average));
		}
	}

	private void fail(Throwable failure) {
		this.reading = false;
		this.failing = true;
		failWaiters(failure);
	}

	private void failWaiters(Throwable failure) {
		List<Waiter> all = List.copyOf(this.waiters);
		this.waiters.clear();
		all.forEach((waiter) -> waiter.future.completeExceptionally(failure));
	}

	/**
	 * A slice and where its read began.
	 *
	 * @param from the offset asked for
	 * @param slice the answer
	 */
	private record Read(long from, LogSlice slice) {
	}

	/**
	 * A caller that waits for a read that begins after its call.
	 */
	private static final class Waiter {

		private final CompletableFuture<PartitionState> future;

		private boolean covered;

		Waiter(CompletableFuture<PartitionState> future) {
			this.future = future;
		}

	}

}
