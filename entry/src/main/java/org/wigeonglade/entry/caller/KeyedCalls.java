package org.wigeonglade.entry.caller;

import java.util.function.BiConsumer;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.entry.batch.KeyedAnswer;
import org.wigeonglade.entry.batch.KeyedRequest;
import org.wigeonglade.entry.batch.KeyedStart;

/**
 * Runs calls that must not be repeated and carry an idempotency key: the intent is
 * durable before the call is sent, and the answer before it is given.
 */
final class KeyedCalls {

	static final String KEY_HEADER = "Idempotency-Key";

	/** Largest length of a key. */
	private static final int LONGEST_KEY = 255;

	private final BatchRuntime batch;

	KeyedCalls(BatchRuntime batch) {
		this.batch = batch;
	}

	// Returns the key, empty if the caller sent none.
	static String keyOf(RoutingContext context) {
		String key = context.request().getHeader(KEY_HEADER);
		if (key == null || key.isEmpty()) {
			return "";
		}
		if (key.length() > LONGEST_KEY || !key.chars().allMatch((c) -> c > 32 && c < 127)) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID,
					KEY_HEADER + " must have at most " + LONGEST_KEY + " visible ASCII characters");
		}
		return key;
	}

	void run(RoutingContext context, WorkspaceId workspace, byte[] body, BiConsumer<Context, Completion> call) {
		if (this.batch == null) {
			throw new RefusedException(ErrorCode.PLATFORM_UNAVAILABLE, "this host keeps no idempotency keys", null);
		}
		ByteString digest = ByteString.copyFrom(Hashing.sha256()
			.newHasher()
			.putUnencodedChars(context.request().method().name())
			.putByte((byte) 0)
			.putUnencodedChars(context.request().uri())
			.putByte((byte) 0)
			.putBytes(body)
			.hash()
			.asBytes());
		KeyedRequest request = new KeyedRequest(workspace, keyOf(context), digest,
				RequestId.of(CallerAccess.requestId(context)));
		Context loop = Vertx.currentContext();
		this.batch.beginKeyed(request)
			.subscribe()
			.with((start) -> loop.runOnContext((ignored) -> started(context, request, start, call, loop)),
					(failure) -> loop.runOnContext((ignored) -> context.fail(failure)));
	}

	private void started(RoutingContext context, KeyedRequest request, KeyedStart start,
			BiConsumer<Context, Completion> call, Context loop) {
		switch (start) {
			case KeyedStart.Run run -> call.accept(loop, new Completion(this.batch, context, request, loop));
			case KeyedStart.Stored stored -> {
				context.response().putHeader("Idempotent-Replayed", "true");
				send(context, stored.answer().httpStatus(), stored.answer().contentType(),
						stored.answer().body().toByteArray());
			}
			case KeyedStart.InProgress running ->
				context.fail(new UpstreamException(ErrorCode.KEY_IN_PROGRESS, ExecutionState.UNKNOWN, false,
						"request " + running.requestId() + " with this key is in progress", null));
			case KeyedStart.Unknown unknown -> context.fail(new UpstreamException(ErrorCode.UPSTREAM_FAILED,
					ExecutionState.UNKNOWN, false, "it is not known whether request " + unknown.requestId()
							+ " with this key ran; it will not be run again",
					null));
		}
	}

	static void send(RoutingContext context, int status, String contentType, byte[] body) {
		if (context.response().ended() || context.response().closed()) {
			return;
		}
		if (!contentType.isEmpty()) {
			context.response().putHeader("Content-Type", contentType);
		}
		context.response().setStatusCode(status).end(Buffer.buffer(body));
	}

	/**
	 * Ends a call that was let run.
	 *
	 * @param batch keeps the answer
	 * @param context the call of the caller
	 * @param request the identification under which the intent is recorded
	 * @param loop the event loop of the call
	 */
	record Completion(BatchRuntime batch, RoutingContext context, KeyedRequest request, Context loop) {

		// Stores the answer and then gives it. The caller gets it also when it cannot be
		// stored; a resend is then told that the outcome is unknown.
		void answer(int status, String contentType, byte[] body) {
			KeyedAnswer answer = new KeyedAnswer(ExecutionState.RAN, status, contentType, ByteString.copyFrom(body));
			store(answer, () -> send(this.context, status, contentType, body));
		}

		void fail(WigeongladeException failure) {
			KeyedAnswer answer = new KeyedAnswer((failure.getExecutionState() == ExecutionState.NOT_RUN)
					? ExecutionState.NOT_RUN : ExecutionState.UNKNOWN, failure.getCode().getHttpStatus(), "",
					ByteString.EMPTY);
			store(answer, () -> this.context.fail(failure));
		}

		private void store(KeyedAnswer answer, Runnable then) {
			this.batch.completeKeyed(this.request, answer)
				.subscribe()
				.with((done) -> this.loop.runOnContext((ignored) -> then.run()),
						(failure) -> this.loop.runOnContext((ignored) -> then.run()));
		}

	}

}
