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
import org.wigeonglade.entry.batch.KeyedRequest;
import org.wigeonglade.entry.batch.KeyedRequestDecision;
import org.wigeonglade.entry.batch.KeyedResponse;

/**
 * Runner of non-idempotent calls that have an idempotency key. The intent is made durable
 * before the call is sent to the upstream, and the response before it is sent to the
 * caller.
 */
final class KeyedCalls {

	static final String KEY_HEADER = "Idempotency-Key";

	/** Maximum length of an idempotency key in characters. */
	private static final int MAX_KEY_LENGTH = 255;

	private final BatchRuntime batch;

	private final RequestTracker requests;

	KeyedCalls(BatchRuntime batch, RequestTracker requests) {
		this.batch = batch;
		this.requests = requests;
	}

	// Returns the idempotency key, or an empty string if the request has none.
	static String idempotencyKey(RoutingContext context) {
		String key = context.request().getHeader(KEY_HEADER);
		if (key == null || key.isEmpty()) {
			return "";
		}
		if (key.length() > MAX_KEY_LENGTH || !key.chars().allMatch((c) -> c > 32 && c < 127)) {
			throw new InvalidRequestException(ErrorCode.REQUEST_INVALID,
					KEY_HEADER + " must have at most " + MAX_KEY_LENGTH + " visible ASCII characters");
		}
		return key;
	}

	void run(RoutingContext context, WorkspaceId workspace, byte[] body, BiConsumer<Context, Responder> call) {
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
		KeyedRequest request = new KeyedRequest(workspace, idempotencyKey(context), digest,
				RequestId.of(CallerAuthenticator.requestId(context)));
		Context loop = Vertx.currentContext();
		this.requests.beginKeyed(context);
		this.batch.beginKeyed(request)
			.subscribe()
			.with((start) -> loop.runOnContext((ignored) -> proceed(context, request, start, call, loop)),
					(failure) -> loop.runOnContext((ignored) -> {
						this.requests.endKeyed(context);
						context.fail(failure);
					}));
	}

	private void proceed(RoutingContext context, KeyedRequest request, KeyedRequestDecision start,
			BiConsumer<Context, Responder> call, Context loop) {
		if (!(start instanceof KeyedRequestDecision.Run)) {
			this.requests.endKeyed(context);
		}
		switch (start) {
			case KeyedRequestDecision.Run run ->
				call.accept(loop, new Responder(this.batch, this.requests, context, request, loop));
			case KeyedRequestDecision.Stored stored -> {
				context.response().putHeader("Idempotent-Replayed", "true");
				send(context, stored.response().httpStatus(), stored.response().contentType(),
						stored.response().body().toByteArray());
			}
			case KeyedRequestDecision.InProgress running ->
				context.fail(new UpstreamException(ErrorCode.KEY_IN_PROGRESS, ExecutionState.UNKNOWN, false,
						"request " + running.requestId() + " with this key is in progress", null));
			case KeyedRequestDecision.Unknown unknown -> context.fail(new UpstreamException(ErrorCode.UPSTREAM_FAILED,
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
	 * Completes a call that was allowed to run.
	 *
	 * @param batch stores the response
	 * @param requests counts the call until its response is stored
	 * @param context the HTTP request of the caller
	 * @param request identifies the recorded intent
	 * @param loop the event loop of the HTTP request
	 */
	record Responder(BatchRuntime batch, RequestTracker requests, RoutingContext context, KeyedRequest request,
			Context loop) {

		// Stores the response and then sends it. If storing fails, the response is sent
		// nevertheless; a resend is then rejected with the execution state "unknown".
		void respond(int status, String contentType, byte[] body) {
			KeyedResponse response = new KeyedResponse(ExecutionState.RAN, status, contentType,
					ByteString.copyFrom(body));
			store(response, () -> send(this.context, status, contentType, body));
		}

		void fail(WigeongladeException failure) {
			KeyedResponse response = new KeyedResponse((failure.getExecutionState() == ExecutionState.NOT_RUN)
					? ExecutionState.NOT_RUN : ExecutionState.UNKNOWN, failure.getCode().getHttpStatus(), "",
					ByteString.EMPTY);
			store(response, () -> this.context.fail(failure));
		}

		private void store(KeyedResponse response, Runnable continuation) {
			this.batch.completeKeyed(this.request, response)
				.subscribe()
				.with((done) -> complete(continuation), (failure) -> complete(continuation));
		}

		private void complete(Runnable continuation) {
			this.requests.endKeyed(this.context);
			this.loop.runOnContext((ignored) -> continuation.run());
		}

	}

}
