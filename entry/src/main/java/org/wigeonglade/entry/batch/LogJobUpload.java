package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Executor;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.BatchPolicy;
import org.wigeonglade.core.batch.KeyState;
import org.wigeonglade.core.batch.PartitionState;
import org.wigeonglade.core.error.ConflictException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.log.BatchItem;
import org.wigeonglade.schema.generated.log.ItemChunk;
import org.wigeonglade.schema.generated.log.JobAccepted;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;

/**
 * Writes the items of a job to the log while they arrive and accepts the job at the end.
 * Chunks without the acceptance have no effect, so that an upload that fails before it is
 * refused as not run.
 */
final class LogJobUpload implements JobUpload {

	/** Fits into one record of the log writer together with the acceptance. */
	private static final int CHUNK_BYTES = 192 * 1024;

	private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(15);

	private final JobSubmission submission;

	private final PartitionRouter router;

	private final BatchPolicy policy;

	private final Ticker ticker;

	private final Executor worker;

	private final UploadLimits limits;

	private final Runnable closed;

	private final JobLineParser parser;

	private final LineSplitter splitter;

	private final Hasher digest = Hashing.sha256().newHasher();

	private final Map<String, Integer> lineOfId = new HashMap<>();

	private final BatchId id;

	private final Deque<ItemChunk.Builder> ready = new ArrayDeque<>();

	private ItemChunk.Builder chunk;

	private int chunkBytes;

	private ServiceConfiguration service;

	private long bodyBytes;

	private boolean checkedKey;

	private boolean known;

	private boolean ended;

	LogJobUpload(JobSubmission submission, PartitionRouter router, BatchPolicy policy, Ticker ticker, Executor worker,
			UploadLimits limits, Runnable closed) {
		this.submission = submission;
		this.router = router;
		this.policy = policy;
		this.ticker = ticker;
		this.worker = worker;
		this.limits = limits;
		this.closed = closed;
		this.parser = new JobLineParser(limits.maxItemBytes(), limits.maxDepth());
		this.splitter = new LineSplitter(limits.maxItemBytes(), this::takeLine);
		int partition = router.partitionOf(submission.workspace().value(), submission.idempotencyKey());
		this.id = new BatchId(partition, UUID.randomUUID().toString().replace("-", ""));
		this.chunk = newChunk();
	}

	@Override
	public Uni<Void> write(byte[] piece) {
		return Uni.createFrom().item(() -> {
			requireOpen();
			this.bodyBytes += piece.length;
			if (this.bodyBytes > this.limits.maxBodyBytes()) {
				throw new InvalidRequestException(ErrorCode.TOO_LARGE,
						"the body has more than " + this.limits.maxBodyBytes() + " bytes");
			}
			this.digest.putBytes(piece);
			this.splitter.write(piece);
			return this.ready.isEmpty();
		})
			.runSubscriptionOn(this.worker)
			.chain((empty) -> empty ? Uni.createFrom().voidItem() : flush())
			.onFailure()
			.invoke(this::abort);
	}

	@Override
	public Uni<JobStatus> finish() {
		return Uni.createFrom().item(() -> {
			requireOpen();
			this.splitter.finish();
			if (this.lineOfId.isEmpty()) {
				throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, "the job has no items");
			}
			return ByteString.copyFrom(this.digest.hash().asBytes());
		})
			.runSubscriptionOn(this.worker)
			.chain((hash) -> flush().chain(() -> accept(hash)))
			.onTermination()
			.invoke(this::abort);
	}

	@Override
	public void abort() {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
		}
		this.closed.run();
	}

	private synchronized void requireOpen() {
		if (this.ended) {
			throw new RefusedException(ErrorCode.CLIENT_GONE, "the upload has ended", null);
		}
	}

	private void takeLine(byte[] line) {
		int number = this.splitter.getLineNumber();
		JobLine parsed = this.parser.parse(line, number);
		Integer earlier = this.lineOfId.putIfAbsent(parsed.customId(), number);
		if (earlier != null) {
			throw new InvalidRequestException(ErrorCode.CUSTOM_ID_DUPLICATE,
					"line " + number + " repeats the custom_id of line " + earlier);
		}
		if (this.lineOfId.size() > this.limits.maxItems()) {
			throw new InvalidRequestException(ErrorCode.TOO_LARGE,
					"line " + number + " is one item too many; at most " + this.limits.maxItems() + " are allowed");
		}
		checkModel(parsed.model(), number);
		this.chunk.addItems(BatchItem.newBuilder()
			.setIndex(this.lineOfId.size() - 1)
			.setCustomId(parsed.customId())
			.setBody(parsed.body()));
		this.chunkBytes += parsed.body().size() + parsed.customId().length();
		if (this.chunkBytes >= CHUNK_BYTES) {
			this.ready.add(this.chunk);
			this.chunk = newChunk();
			this.chunkBytes = 0;
		}
	}

	private void checkModel(String model, int number) {
		ServiceConfiguration found = this.policy.findService(model)
			.orElseThrow(() -> new InvalidRequestException(ErrorCode.LINE_INVALID,
					"line " + number + " names the model " + model + ", which no service has"));
		if (this.service == null) {
			if (this.policy.findBatchProfile(found.getName()).isEmpty()) {
				throw new InvalidRequestException(ErrorCode.LINE_INVALID,
						"line " + number + " names the service " + found.getName() + ", which takes no batch work");
			}
			if (!this.policy.mayUse(this.submission.workspace().value(), found.getName())) {
				throw new InvalidRequestException(ErrorCode.FORBIDDEN,
						"the workspace may not use the service " + found.getName());
			}
			this.service = found;
		}
		else if (!this.service.getName().equals(found.getName())) {
			throw new InvalidRequestException(ErrorCode.LINE_INVALID, "line " + number + " names the service "
					+ found.getName() + "; all items of the job must name " + this.service.getName());
		}
	}

	private Uni<Void> checkKey() {
		if (this.checkedKey || this.submission.idempotencyKey().isEmpty()) {
			return Uni.createFrom().voidItem();
		}
		return this.router.agent(this.id.partition())
			.catchUp()
			.onFailure()
			.transform(Readback::refused)
			.invoke((state) -> {
				this.checkedKey = true;
				this.known = findKey(state) != null;
			})
			.replaceWithVoid();
	}

	private Uni<Void> flush() {
		Uni<Void> chain = checkKey();
		while (!this.ready.isEmpty()) {
			LogEntry entry = LogEntry.newBuilder().setItemChunk(this.ready.poll()).build();
			chain = chain.chain(() -> appendChunk(entry));
		}
		return chain;
	}

	private Uni<Void> appendChunk(LogEntry entry) {
		if (this.known) {
			return Uni.createFrom().voidItem();
		}
		return this.router.append(this.id.partition(), List.of(entry), false, APPEND_TIMEOUT)
			.onFailure()
			.transform(Readback::refused)
			.replaceWithVoid();
	}

	private Uni<JobStatus> accept(ByteString hash) {
		if (this.known) {
			return this.router.agent(this.id.partition())
				.catchUp()
				.onFailure()
				.transform(Readback::refused)
				.map((state) -> judge(state, hash));
		}
		Profile profile = this.policy.findBatchProfile(this.service.getName()).orElseThrow();
		long now = this.ticker.wallMillis();
		JobAccepted accepted = JobAccepted.newBuilder()
			.setBatchId(this.id.toString())
			.setWorkspace(this.submission.workspace().value())
			.setIdempotencyKey(this.submission.idempotencyKey())
			.setRequestDigest(hash)
			.setItemCount(this.lineOfId.size())
			.setService(this.service.getName())
			.setDueWallTimeMs(now + profile.getDeadlineMs())
			.setIdempotent(profile.getIdempotent())
			.setAcceptedWallTimeMs(now)
			.setConfigVersion(this.policy.getVersion())
			.build();
		List<LogEntry> entries = new ArrayList<>();
		if (this.chunk.getItemsCount() > 0) {
			entries.add(LogEntry.newBuilder().setItemChunk(this.chunk).build());
		}
		entries.add(LogEntry.newBuilder().setJobAccepted(accepted).build());
		return this.router.append(this.id.partition(), entries, true, APPEND_TIMEOUT)
			.onFailure()
			.transform(Readback::translate)
			.chain(() -> Readback.judge(this.router.agent(this.id.partition()), (state) -> judge(state, hash)));
	}

	private JobStatus judge(PartitionState state, ByteString hash) {
		KeyState key = findKey(state);
		if (key != null) {
			if (key.batchId() == null || !key.digest().equals(hash)) {
				throw new ConflictException(ErrorCode.KEY_REUSED, "the idempotency key was used with another body");
			}
			return state.findJob(key.batchId()).map(JobStatuses::of).orElseThrow();
		}
		// Without its items the acceptance is void for every reader.
		return state.findJob(this.id.toString())
			.map(JobStatuses::of)
			.orElseThrow(() -> Readback
				.refused(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "not all items were stored", null)));
	}

	private KeyState findKey(PartitionState state) {
		return this.submission.idempotencyKey().isEmpty() ? null
				: state.findKey(this.submission.workspace().value(), this.submission.idempotencyKey()).orElse(null);
	}

	private ItemChunk.Builder newChunk() {
		return ItemChunk.newBuilder().setBatchId(this.id.toString());
	}

}
