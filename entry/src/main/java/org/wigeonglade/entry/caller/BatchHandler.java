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
 * Handles jobs: upload, state, results and cancellation. Bodies and results are passed on
 * in pieces with back-pressure.
 */
final class BatchHandler {

	private final CallerAccess access;

	private final BatchRuntime batch;

	private final long maxBodyBytes;

	BatchHandler(CallerAccess access, BatchRuntime batch, long maxBodyBytes) {
		this.access = access;
		this.batch = batch;
		this.maxBodyBytes = maxBodyBytes;
	}

	void submit(RoutingContext context) {
		HttpServerRequest request = context.request();
		request.pause();
		WorkspaceId workspace = workspace(context);
		String length = request.getHeader("Content-Length");
		if (length != null && length.length() < 19 && length.chars().allMatch(Character::isDigit)
				&& Long.parseLong(length) > this.maxBodyBytes) {
			throw tooLarge();
		}
		JobUpload upload = this.batch.submit(new JobSubmission(workspace, KeyedCalls.keyOf(context)));
		new Upload(context, upload).start();
	}

	void status(RoutingContext context) {
		answer(context, this.batch.status(workspace(context), id(context)));
	}

	void cancel(RoutingContext context) {
		answer(context, this.batch.cancel(workspace(context), id(context)));
	}

	void results(RoutingContext context) {
		this.batch.results(workspace(context), id(context)).subscribe().withSubscriber(new Results(context));
	}

	private WorkspaceId workspace(RoutingContext context) {
		if (this.batch == null) {
			throw new RefusedException(ErrorCode.PLATFORM_UNAVAILABLE, "this host keeps no jobs", null);
		}
		return WorkspaceId.of(this.access.authenticate(context).workspace().getName());
	}

	private static BatchId id(RoutingContext context) {
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

	private static void answer(RoutingContext context, Uni<JobStatus> status) {
		Context loop = Vertx.currentContext();
		status.subscribe()
			.with((job) -> loop.runOnContext((ignored) -> give(context, job)),
					(failure) -> loop.runOnContext((ignored) -> context.fail(failure)));
	}

	private static void give(RoutingContext context, JobStatus job) {
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

	/** Passes one upload on, piece by piece. */
	private final class Upload {

		private final RoutingContext context;

		private final JobUpload upload;

		private final Context loop = Vertx.currentContext();

		private Buffer gathered = Buffer.buffer();

		private long received;

		private boolean ended;

		private boolean writing;

		private boolean done;

		private Upload(RoutingContext context, JobUpload upload) {
			this.context = context;
			this.upload = upload;
		}

		private void start() {
			HttpServerRequest request = this.context.request();
			request.exceptionHandler((failure) -> abort());
			this.context.response().closeHandler((ignored) -> abort());
			request.handler(this::take);
			request.endHandler((ignored) -> {
				this.ended = true;
				next();
			});
			request.resume();
		}

		private void take(Buffer piece) {
			this.received += piece.length();
			if (this.received > BatchHandler.this.maxBodyBytes) {
				fail(tooLarge());
				return;
			}
			this.gathered.appendBuffer(piece);
			this.context.request().pause();
			next();
		}

		private void next() {
			if (this.done || this.writing) {
				return;
			}
			if (this.gathered.length() > 0) {
				this.writing = true;
				byte[] piece = this.gathered.getBytes();
				this.gathered = Buffer.buffer();
				handle(this.upload.write(piece), (ignored) -> {
					this.writing = false;
					this.context.request().resume();
					next();
				});
			}
			else if (this.ended) {
				this.writing = true;
				handle(this.upload.finish(), (job) -> {
					this.done = true;
					give(this.context, job);
				});
			}
		}

		private <T> void handle(Uni<T> step, Consumer<T> then) {
			step.subscribe().with((result) -> this.loop.runOnContext((ignored) -> {
				if (!this.done) {
					then.accept(result);
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

	/** Writes the results of one job; asks for the next piece when the last was taken. */
	private static final class Results implements Flow.Subscriber<byte[]> {

		private final RoutingContext context;

		private final HttpServerResponse response;

		private final Context loop = Vertx.currentContext();

		private Flow.Subscription subscription;

		private Results(RoutingContext context) {
			this.context = context;
			this.response = context.response();
		}

		@Override
		public void onSubscribe(Flow.Subscription given) {
			this.subscription = given;
			this.response.closeHandler((ignored) -> given.cancel());
			given.request(1);
		}

		@Override
		public void onNext(byte[] piece) {
			this.loop.runOnContext((ignored) -> write(piece));
		}

		@Override
		public void onError(Throwable failure) {
			this.loop.runOnContext((ignored) -> {
				if (this.response.headWritten()) {
					// A missing end of the chunked body tells the client that lines are
					// missing.
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
					begin();
					this.response.end();
				}
			});
		}

		private void write(byte[] piece) {
			if (this.response.closed()) {
				return;
			}
			begin();
			this.response.write(Buffer.buffer(piece));
			if (this.response.writeQueueFull()) {
				this.response.drainHandler((ignored) -> this.subscription.request(1));
			}
			else {
				this.subscription.request(1);
			}
		}

		private void begin() {
			if (!this.response.headWritten()) {
				this.response.setChunked(true).putHeader("Content-Type", "application/jsonl");
			}
		}

	}

}
