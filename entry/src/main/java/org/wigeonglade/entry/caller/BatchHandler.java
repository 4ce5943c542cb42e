package org.wigeonglade.entry.caller;

import java.util.Locale;
import java.util.concurrent.Flow;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.entry.batch.JobStatus;
import org.wigeonglade.entry.batch.JobSubmission;
import org.wigeonglade.entry.batch.JobUpload;

/**
 * HTTP handler of batch jobs: upload, status, results and cancellation. Request bodies
 * and results are streamed with back-pressure.
 */
final class BatchHandler {

	private final CallerAuthenticator authenticator;

	private final BatchRuntime batch;

	private final long maxBodyBytes;

	BatchHandler(CallerAuthenticator authenticator, BatchRuntime batch, long maxBodyBytes) {
		this.authenticator = authenticator;
		this.batch = batch;
		this.maxBodyBytes = maxBodyBytes;
	}

	void submit(RoutingContext context) {
		HttpServerRequest request = context.request();
		request.pause();
		WorkspaceId workspace = authenticate(context);
		String length = request.getHeader("Content-Length");
		if (length != null && length.length() < 19 && length.chars().allMatch(Character::isDigit)
				&& Long.parseLong(length) > this.maxBodyBytes) {
			throw tooLarge();
		}
		JobUpload upload = this.batch.submit(new JobSubmission(workspace, KeyedCalls.idempotencyKey(context)));
		new UploadTransfer(context, upload).start();
	}

	void status(RoutingContext context) {
		sendWhenAvailable(context, this.batch.status(authenticate(context), parseId(context)));
	}

	void cancel(RoutingContext context) {
		sendWhenAvailable(context, this.batch.cancel(authenticate(context), parseId(context)));
	}

	void results(RoutingContext context) {
		this.batch.results(authenticate(context), parseId(context))
			.subscribe()
			.withSubscriber(new ResultSubscriber(context));
	}

	private WorkspaceId authenticate(RoutingContext context) {
		if (this.batch == null) {
			throw new RefusedException(ErrorCode.PLATFORM_UNAVAILABLE, "this host keeps no jobs", null);
		}
		return WorkspaceId.of(this.authenticator.authenticate(context).workspace().getName());
	}

	private static BatchId parseId(RoutingContext context) {
		try {
			return BatchId.parse(context.pathParam("id"));
		}
		catch (InvalidRequestException ex) {
			throw new InvalidRequestException(ErrorCode.NOT_FOUND, "no such batch", ex);
		}
	}

	private InvalidRequestException tooLarge() {
		return new InvalidRequestException(ErrorCode.TOO_LARGE,
				"the job is larger than " + this.maxBodyBytes + " bytes");
	}

	private static void sendWhenAvailable(RoutingContext context, Uni<JobStatus> status) {
		Context loop = Vertx.currentContext();
		status.subscribe()
			.with((job) -> loop.runOnContext((ignored) -> sendStatus(context, job)),
					(failure) -> loop.runOnContext((ignored) -> context.fail(failure)));
	}

	private static void sendStatus(RoutingContext context, JobStatus job) {
		KeyedCalls.send(context, 200, "application/json", toJson(job).toBuffer().getBytes());
	}

	private static JsonObject toJson(JobStatus job) {
		return new JsonObject().put("id", job.id().toString())
			.put("object", "batch")
			.put("service", job.service())
			.put("status", job.state().name().toLowerCase(Locale.ROOT))
			.put("request_counts",
					new JsonObject().put("total", job.items())
						.put("completed", job.completed())
						.put("failed", job.failed()))
			.put("items", job.items())
			.put("completed", job.completed())
			.put("failed", job.failed())
			.put("cancelled", job.cancelled())
			.put("unknown", job.unknown())
			.put("pending", job.getPending())
			.put("accepted_at_ms", job.acceptedWallMillis())
			.put("due_at_ms", job.dueWallMillis());
	}

	/** Writes a request body to a job upload, one chunk at a time. */
	private final class UploadTransfer {

		private final RoutingContext context;

		private final JobUpload upload;

		private final Context loop = Vertx.currentContext();

		private Buffer unwritten = Buffer.buffer();

		private long receivedBytes;

		private boolean ended;

		private boolean writing;

		private boolean done;

		private UploadTransfer(RoutingContext context, JobUpload upload) {
			this.context = context;
			this.upload = upload;
		}

		private void start() {
			HttpServerRequest request = this.context.request();
			request.exceptionHandler((failure) -> abort());
			this.context.response().closeHandler((ignored) -> abort());
			request.handler(this::receive);
			request.endHandler((ignored) -> {
				this.ended = true;
				writeNext();
			});
			request.resume();
		}

		private void receive(Buffer chunk) {
			this.receivedBytes += chunk.length();
			if (this.receivedBytes > BatchHandler.this.maxBodyBytes) {
				fail(tooLarge());
				return;
			}
			this.unwritten.appendBuffer(chunk);
			this.context.request().pause();
			writeNext();
		}

		private void writeNext() {
			if (this.done || this.writing) {
				return;
			}
			if (this.unwritten.length() > 0) {
				this.writing = true;
				byte[] chunk = this.unwritten.getBytes();
				this.unwritten = Buffer.buffer();
				onEventLoop(this.upload.write(chunk), (ignored) -> {
					this.writing = false;
					this.context.request().resume();
					writeNext();
				});
			}
			else if (this.ended) {
				this.writing = true;
				onEventLoop(this.upload.finish(), (job) -> {
					this.done = true;
					sendStatus(this.context, job);
				});
			}
		}

		private <T> void onEventLoop(Uni<T> operation, Consumer<T> onSuccess) {
			operation.subscribe().with((result) -> this.loop.runOnContext((ignored) -> {
				if (!this.done) {
					onSuccess.accept(result);
				}
			}), (failure) -> this.loop.runOnContext((ignored) -> fail(failure)));
		}

		private void fail(Throwable failure) {
			if (this.done) {
				return;
			}
			abort();
			this.context.response().putHeader("Connection", "close");
			this.context.fail(failure);
		}

		private void abort() {
			if (!this.done) {
				this.done = true;
				this.upload.abort();
			}
		}

	}

	/**
	 * Writes the results of a job; requests the next chunk when the write queue has room.
	 */
	private static final class ResultSubscriber implements Flow.Subscriber<byte[]> {

		private final RoutingContext context;

		private final HttpServerResponse response;

		private final Context loop = Vertx.currentContext();

		private Flow.Subscription subscription;

		private ResultSubscriber(RoutingContext context) {
			this.context = context;
			this.response = context.response();
		}

		@Override
		public void onSubscribe(Flow.Subscription newSubscription) {
			this.subscription = newSubscription;
			this.response.closeHandler((ignored) -> newSubscription.cancel());
			newSubscription.request(1);
		}

		@Override
		public void onNext(byte[] chunk) {
			this.loop.runOnContext((ignored) -> write(chunk));
		}

		@Override
		public void onError(Throwable failure) {
			this.loop.runOnContext((ignored) -> {
				if (this.response.headWritten()) {
					// Closing without the final chunk lets the client detect that the
					// body is incomplete.
					this.context.request().connection().close();
				}
				else {
					this.context.fail(failure);
				}
			});
		}

		@Override
		public void onComplete() {
			this.loop.runOnContext((ignored) -> {
				if (!this.response.closed() && !this.response.ended()) {
					writeHeadOnce();
					this.response.end();
				}
			});
		}

		private void write(byte[] chunk) {
			if (this.response.closed() || this.response.ended()) {
				return;
			}
			writeHeadOnce();
			this.response.write(Buffer.buffer(chunk));
			if (this.response.writeQueueFull()) {
				this.response.drainHandler((ignored) -> this.subscription.request(1));
			}
			else {
				this.subscription.request(1);
			}
		}

		private void writeHeadOnce() {
			if (!this.response.headWritten()) {
				this.response.setChunked(true).putHeader("Content-Type", "application/jsonl");
			}
		}

	}

}
