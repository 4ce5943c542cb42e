package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.KeyState;
import org.wigeonglade.core.batch.PartitionAgent;
import org.wigeonglade.core.batch.PartitionState;
import org.wigeonglade.core.batch.RecordCache;
import org.wigeonglade.core.batch.WriterIdentity;
import org.wigeonglade.core.error.ConflictException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.log.KeyedIntent;
import org.wigeonglade.schema.generated.log.KeyedOutcome;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.OutcomeStatus;

/**
 * Lets a non-idempotent online request with a key run at most once in the whole fleet.
 */
final class KeyedRequests {

	private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

	private final PartitionRouter router;

	private final RecordCache cache;

	private final WriterIdentity identity;

	private final FleetViewSource fleet;

	private final Ticker ticker;

	KeyedRequests(PartitionRouter router, RecordCache cache, WriterIdentity identity, FleetViewSource fleet,
			Ticker ticker) {
		this.router = router;
		this.cache = cache;
		this.identity = identity;
		this.fleet = fleet;
		this.ticker = ticker;
	}

	Uni<KeyedStart> begin(KeyedRequest request) {
		int partition = partitionOf(request);
		PartitionAgent agent = this.router.agent(partition);
		return agent.catchUp()
			.onFailure()
			.transform(Readback::refused)
			.map((state) -> find(state, request))
			.chain((key) -> {
				if (key.isPresent()) {
					return answer(partition, key.get(), request);
				}
				KeyedIntent intent = KeyedIntent.newBuilder()
					.setWorkspace(request.workspace().value())
					.setIdempotencyKey(request.idempotencyKey())
					.setRequestDigest(request.requestDigest())
					.setRequestId(request.requestId().value())
					.setAcceptedWallTimeMs(this.ticker.wallMillis())
					.setHost(this.identity.host())
					.setIncarnation(this.identity.incarnation())
					.build();
				return this.router
					.append(partition, List.of(LogEntry.newBuilder().setKeyedIntent(intent).build()), true,
							APPEND_TIMEOUT)
					.onFailure()
					.transform(Readback::translate)
					.chain(() -> Readback.judge(agent, (state) -> find(state, request)))
					.chain((winner) -> winner.filter((found) -> isMine(found, request)).isPresent()
							? Uni.createFrom().item(new KeyedStart.Run())
							: answer(partition, winner.orElseThrow(), request));
			});
	}

	Uni<Void> complete(KeyedRequest request, KeyedAnswer answer) {
		OutcomeStatus status = switch (answer.ran()) {
			case RAN -> OutcomeStatus.COMPLETED;
			case NOT_RUN -> OutcomeStatus.CANCELLED;
			case UNKNOWN -> OutcomeStatus.UNKNOWN;
		};
		KeyedOutcome outcome = KeyedOutcome.newBuilder()
			.setWorkspace(request.workspace().value())
			.setIdempotencyKey(request.idempotencyKey())
			.setRequestId(request.requestId().value())
			.setStatus(status)
			.setHttpStatus(answer.httpStatus())
			.setContentType(answer.contentType())
			.setBody(answer.body())
			.build();
		return this.router
			.append(partitionOf(request), List.of(LogEntry.newBuilder().setKeyedOutcome(outcome).build()), true,
					APPEND_TIMEOUT)
			.replaceWithVoid();
	}

	private int partitionOf(KeyedRequest request) {
		return this.router.partitionOf(request.workspace().value(), request.idempotencyKey());
	}

	private Uni<KeyedStart> answer(int partition, KeyState key, KeyedRequest request) {
		if (key.intent() == null || !key.digest().equals(request.requestDigest())) {
			return Uni.createFrom()
				.failure(new ConflictException(ErrorCode.KEY_REUSED, "the idempotency key was used with another body"));
		}
		String first = key.intent().getRequestId();
		if (key.outcome() == null) {
			return Uni.createFrom()
				.item(isRunning(key.intent()) ? new KeyedStart.InProgress(first) : new KeyedStart.Unknown(first));
		}
		if (key.outcome().getStatus() != OutcomeStatus.COMPLETED) {
			return Uni.createFrom().item(new KeyedStart.Unknown(first));
		}
		return this.cache.get(StreamName.of(PartitionRouter.streamOf(partition)), key.outcomeOffset())
			.onFailure()
			.transform(Readback::refused)
			.map((found) -> new KeyedStart.Stored(read(found, key)));
	}

	private boolean isRunning(KeyedIntent intent) {
		if (intent.getHost().equals(this.identity.host())) {
			return intent.getIncarnation() == this.identity.incarnation();
		}
		return this.fleet.current()
			.hosts()
			.stream()
			.anyMatch((host) -> host.id().value().equals(intent.getHost())
					&& host.incarnation() <= intent.getIncarnation());
	}

	private static Optional<KeyState> find(PartitionState state, KeyedRequest request) {
		return state.findKey(request.workspace().value(), request.idempotencyKey());
	}

	private static boolean isMine(KeyState key, KeyedRequest request) {
		return key.intent() != null && key.outcome() == null
				&& key.intent().getRequestId().equals(request.requestId().value());
	}

	private static KeyedAnswer read(LogRecord found, KeyState key) {
		ByteString body = found.getEntriesList()
			.stream()
			.filter(LogEntry::hasKeyedOutcome)
			.map(LogEntry::getKeyedOutcome)
			.filter((outcome) -> outcome.getRequestId().equals(key.outcome().getRequestId())
					&& outcome.getIdempotencyKey().equals(key.outcome().getIdempotencyKey()))
			.findFirst()
			.map(KeyedOutcome::getBody)
			.orElse(ByteString.EMPTY);
		return new KeyedAnswer(ExecutionState.RAN, key.outcome().getHttpStatus(), key.outcome().getContentType(), body);
	}

}
