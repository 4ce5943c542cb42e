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
 * Upload that appends the items of a job to the log as they arrive, and a record of the
 * acceptance at the end. Chunks of items have no effect without the acceptance, so an
 * upload that fails before it is reported as not run.
 */
final class LogJobUpload implements JobUpload {

	/** Small enough to fit into one record of the log writer with the acceptance. */
	private static final int CHUNK_BYTES = 192 * 1024;

	private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(15);

	private final JobSubmission submission;

	private final PartitionRouter router;

	private final BatchPolicy policy;

	private final Ticker ticker;

	private final Executor executor;

	private final UploadLimits limits;

	private final Runnable onClose;

	private final JobLineParser parser;

	private final LineSplitter splitter;

	private final Hasher digest = Hashing.sha256().newHasher();

	private final Map<String, Integer> lineNumberByCustomId = new HashMap<>();

	private final BatchId id;

	private final Deque<ItemChunk.Builder> fullChunks = new ArrayDeque<>();

	private ItemChunk.Builder currentChunk;

	private int currentChunkBytes;

	private ServiceConfiguration service;

	private long bodyBytes;

	private boolean keyChecked;

	private boolean keyInUse;

	private boolean ended;

	LogJobUpload(JobSubmission submission, PartitionRouter router, BatchPolicy policy, Ticker ticker, Executor executor,
			UploadLimits limits, Runnable onClose) {
		this.submission = submission;
		this.router = router;
		this.policy = policy;
		this.ticker = ticker;
		this.executor = executor;
		this.limits = limits;
		this.onClose = onClose;
		this.parser = new JobLineParser(limits.maxItemBytes(), limits.maxDepth());
		this.splitter = new LineSplitter(limits.maxItemBytes(), this::addLine);
		int partition = router.partitionOf(submission.workspace().value(), submission.idempotencyKey());
		this.id = new BatchId(partition, UUID.randomUUID().toString().replace("-", ""));
		this.currentChunk = newChunk();
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
			return this.fullChunks.isEmpty();
		})
			.runSubscriptionOn(this.executor)
			.chain((noFullChunk) -> noFullChunk ? Uni.createFrom().voidItem() : flush())
			.onFailure()
			.invoke(this::abort);
	}

	@Override
	public Uni<JobStatus> finish() {
		return Uni.createFrom().item(() -> {
			requireOpen();
			this.splitter.finish();
			if (this.lineNumberByCustomId.isEmpty()) {
				throw new InvalidRequestException(ErrorCode.REQUEST_INVALID, "the job has no items");
			}
			return ByteString.copyFrom(this.digest.hash().asBytes());
		})
			.runSubscriptionOn(this.executor)
			.chain((hash) -> flush().chain(() -> appendAcceptance(hash)))
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
		this.onClose.run();
	}

	private synchronized void requireOpen() {
		if (this.ended) {
			throw new RefusedException(ErrorCode.CLIENT_GONE, "the upload has ended", null);
		}
	}

	private void addLine(byte[] line) {
		int number = this.splitter.getLineNumber();
		JobLine parsed = this.parser.parse(line, number);
		Integer earlier = this.lineNumberByCustomId.putIfAbsent(parsed.customId(), number);
		if (earlier != null) {
			throw new InvalidRequestException(ErrorCode.CUSTOM_ID_DUPLICATE,
					"line " + number + " repeats the custom_id of line " + earlier);
		}
		if (this.lineNumberByCustomId.size() > this.limits.maxItems()) {
			throw new InvalidRequestException(ErrorCode.TOO_LARGE,
					"line " + number + " exceeds the limit of " + this.limits.maxItems() + " items");
		}
		checkModel(parsed.model(), number);
		this.currentChunk.addItems(BatchItem.newBuilder()
			.setIndex(this.lineNumberByCustomId.size() - 1)
			.setCustomId(parsed.customId())
			.setBody(parsed.body()));
		this.currentChunkBytes += parsed.body().size() + parsed.customId().length();
		if (this.currentChunkBytes >= CHUNK_BYTES) {
			this.fullChunks.add(this.currentChunk);
			this.currentChunk = newChunk();
			this.currentChunkBytes = 0;
		}
	}

	private void checkModel(String model, int number) {
		ServiceConfiguration found = this.policy.findService(model)
			.orElseThrow(() -> new InvalidRequestException(ErrorCode.LINE_INVALID,
					"line " + number + " names the model " + model + ", which no service provides"));
		if (this.service == null) {
			if (this.policy.findBatchProfile(found.getName()).isEmpty()) {
				throw new InvalidRequestException(ErrorCode.LINE_INVALID,
						"line " + number + " names the service " + found.getName() + ", which accepts no batch jobs");
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
		if (this.keyChecked || this.submission.idempotencyKey().isEmpty()) {
			return Uni.createFrom().voidItem();
		}
		return this.router.agent(this.id.partition())
			.catchUp()
			.onFailure()
			.transform(AppendOutcomes::refused)
			.invoke((state) -> {
				this.keyChecked = true;
				this.keyInUse = findKey(state) != null;
			})
			.replaceWithVoid();
	}

	private Uni<Void> flush() {
		Uni<Void> chain = checkKey();
		while (!this.fullChunks.isEmpty()) {
			LogEntry entry = LogEntry.newBuilder().setItemChunk(this.fullChunks.poll()).build();
			chain = chain.chain(() -> appendChunk(entry));
		}
		return chain;
	}

	private Uni<Void> appendChunk(LogEntry entry) {
		if (this.keyInUse) {
			return Uni.createFrom().voidItem();
		}
		return this.router.append(this.id.partition(), List.of(entry), false, APPEND_TIMEOUT)
			.onFailure()
			.transform(AppendOutcomes::refused)
			.replaceWithVoid();
	}

	private Uni<JobStatus> appendAcceptance(ByteString hash) {
		if (this.keyInUse) {
			return this.router.agent(this.id.partition())
				.catchUp()
				.onFailure()
				.transform(AppendOutcomes::refused)
				.map((state) -> resolveStatus(state, hash));
		}
		Profile profile = this.policy.findBatchProfile(this.service.getName()).orElseThrow();
		long now = this.ticker.wallMillis();
		JobAccepted accepted = JobAccepted.newBuilder()
			.setBatchId(this.id.toString())
			.setWorkspace(this.submission.workspace().value())
			.setIdempotencyKey(this.submission.idempotencyKey())
			.setRequestDigest(hash)
			.setItemCount(this.lineNumberByCustomId.size())
			.setService(this.service.getName())
			.setDueWallTimeMs(now + profile.getDeadlineMs())
			.setIdempotent(profile.getIdempotent())
			.setAcceptedWallTimeMs(now)
			.setConfigVersion(this.policy.getVersion())
			.build();
		List<LogEntry> entries = new ArrayList<>();
		if (this.currentChunk.getItemsCount() > 0) {
			entries.add(LogEntry.newBuilder().setItemChunk(this.currentChunk).build());
		}
		entries.add(LogEntry.newBuilder().setJobAccepted(accepted).build());
		return this.router.append(this.id.partition(), entries, true, APPEND_TIMEOUT)
			.onFailure()
			.transform(AppendOutcomes::refusedIfNotAppended)
			.chain(() -> AppendOutcomes.readState(this.router.agent(this.id.partition()),
					(state) -> resolveStatus(state, hash)));
	}

	private JobStatus resolveStatus(PartitionState state, ByteString hash) {
		KeyState key = findKey(state);
		if (key != null) {
			if (key.batchId() == null || !key.digest().equals(hash)) {
				throw new ConflictException(ErrorCode.KEY_REUSED, "the idempotency key was used with another body");
			}
			return state.findJob(key.batchId()).map(JobStatuses::of).orElseThrow();
		}
		// Every replay rejects an acceptance whose items are not all in the log.
		return state.findJob(this.id.toString())
			.map(JobStatuses::of)
			.orElseThrow(() -> AppendOutcomes
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
