package org.wigeonglade.gateway.runner;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.http.ClientConnection;
import org.wigeonglade.gateway.http.ClientExchange;

/**
 * One HTTP call to a runner. It counts as a request in progress at the runner from its
 * start to its end. Confined to the event loop.
 */
public final class RunnerCall implements ClientExchange {

	/**
	 * Largest body of an error response in bytes. Such a body is buffered until it is
	 * complete; a larger one fails the call.
	 */
	private static final int MAX_ERROR_BODY_BYTES = 1 << 20;

	private final Fleet fleet;

	private final RunnerEntry runner;

	private final RunnerRequest request;

	private final Listener listener;

	private ClientConnection connection;

	private RunnerResponseHead responseHead;

	private boolean reused;

	private boolean sent;

	private int errorBodyBytes;

	private boolean ended;

	private RunnerCall(Fleet fleet, RunnerEntry runner, RunnerRequest request, Listener listener) {
		this.fleet = fleet;
		this.runner = runner;
		this.request = request;
		this.listener = listener;
	}

	/**
	 * Starts a call.
	 * @param fleet provides connections and counts requests in progress, not null
	 * @param runner the runner, not null
	 * @param request the request, not null
	 * @param listener receives the response; may be called before this method returns
	 * @return the call, never null
	 */
	public static RunnerCall start(Fleet fleet, RunnerEntry runner, RunnerRequest request, Listener listener) {
		RunnerCall call = new RunnerCall(fleet, runner, request, listener);
		fleet.recordSent(runner);
		fleet.adjustInProgress(runner.id(), request.batch(), 1);
		fleet.getPool().acquire(runner, request, fleet.connectionLimit(runner), call.new ConnectionListener());
		return call;
	}

	/**
	 * Returns the runner that is called.
	 * @return the runner, never null
	 */
	public RunnerEntry getRunner() {
		return this.runner;
	}

	/**
	 * Returns whether bytes of the request may have reached the runner.
	 * @return true once the request was written to a connection
	 */
	public boolean isSent() {
		return this.sent;
	}

	/**
	 * Returns whether the call uses a connection by way of another host.
	 * @return false for a direct connection, or if there is no connection yet
	 */
	public boolean isRelayed() {
		return this.connection != null && this.connection.isRelayed();
	}

	/**
	 * Records that the runner has not responded in time.
	 */
	public void recordSilence() {
		if (this.connection != null && !isRelayed()) {
			this.fleet.getPool().getPaths().recordSilence(this.runner);
		}
	}

	/**
	 * Cancels the call by closing its connection, at which the runner drops the request.
	 * The listener is not called any more.
	 */
	public void cancel() {
		if (!this.ended) {
			finish();
			if (this.connection != null) {
				this.fleet.getPool().discard(this.runner.id(), this.connection);
			}
		}
	}

	/**
	 * Pauses or resumes reading the response, for backpressure.
	 * @param reading false to pause
	 */
	public void setReading(boolean reading) {
		if (!this.ended && this.connection != null) {
			this.connection.setReading(reading);
		}
	}

	@Override
	public boolean matches(HttpResponse response) {
		RunnerResponseHead head = this.fleet.getProtocol().read(response);
		return head.requestId().isEmpty() ? !head.isSuccess() : head.requestId().get().equals(this.request.id());
	}

	@Override
	public void head(HttpResponse response) {
		if (!this.ended) {
			this.responseHead = this.fleet.getProtocol().read(response);
			if (!isRelayed()) {
				this.fleet.getPool().getPaths().recordResponse();
			}
			if (this.responseHead.leaving() && !this.responseHead.wrongRunner()) {
				this.fleet.markLeaving(this.runner.id(), this.runner.startedMillis(), "the runner");
			}
			if (!this.responseHead.wrongRunner()) {
				this.fleet.recordRequestLimit(this.runner, this.responseHead.requestLimit());
			}
			this.listener.head(this.responseHead, response.headers());
		}
	}

	@Override
	public void content(byte[] bytes) {
		if (this.ended) {
			return;
		}
		if (!this.responseHead.isSuccess()) {
			this.errorBodyBytes += bytes.length;
			if (this.errorBodyBytes > MAX_ERROR_BODY_BYTES) {
				failed("the body of an error response is larger than " + MAX_ERROR_BODY_BYTES + " bytes");
				return;
			}
		}
		this.listener.content(bytes);
	}

	@Override
	public void end() {
		if (!this.ended) {
			finish();
			this.fleet.getPool().release(this.runner.id(), this.connection, this.responseHead);
			this.listener.end();
		}
	}

	@Override
	public void failed(String reason) {
		if (!this.ended) {
			finish();
			this.fleet.getPool().discard(this.runner.id(), this.connection);
			RunnerFailure.Kind kind = (this.reused && this.responseHead == null) ? RunnerFailure.Kind.STALE_CONNECTION
					: RunnerFailure.Kind.BROKEN;
			this.listener.failed(new RunnerFailure(kind, reason));
		}
	}

	@Override
	public HttpRequest request() {
		HttpHeaders headers = new DefaultHttpHeaders().set(this.request.headers());
		this.fleet.getProtocol()
			.writeHeaders(headers, this.request.id(), this.runner.id(), this.request.remaining(),
					this.request.resumeAfter());
		if (this.request.body().length > 0 || !HttpMethod.GET.equals(this.request.method())) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.request.body().length);
		}
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, this.request.method(), this.request.uri(), headers);
	}

	@Override
	public byte[] body() {
		return this.request.body();
	}

	private void finish() {
		this.ended = true;
		this.fleet.adjustInProgress(this.runner.id(), this.request.batch(), -1);
	}

	/**
	 * Receives the response of a runner.
	 */
	public interface Listener {

		/**
		 * Called when the head of the response was received.
		 * @param head the decoded head, not null
		 * @param headers the headers, not null
		 */
		void head(RunnerResponseHead head, HttpHeaders headers);

		/**
		 * Called for each part of the body.
		 * @param bytes the bytes, not null
		 */
		void content(byte[] bytes);

		/**
		 * Called when the response is complete.
		 */
		void end();

		/**
		 * Called when the call has failed; no further method is called.
		 * @param failure the cause, not null
		 */
		void failed(RunnerFailure failure);

	}

	private final class ConnectionListener implements RunnerConnectionPool.Listener {

		@Override
		public void acquired(ClientConnection acquired, boolean wasUsed) {
			if (RunnerCall.this.ended) {
				RunnerCall.this.fleet.getPool().discard(RunnerCall.this.runner.id(), acquired);
				return;
			}
			RunnerCall.this.connection = acquired;
			RunnerCall.this.reused = wasUsed;
			RunnerCall.this.sent = true;
			acquired.recordCarried(RunnerCall.this.request.id());
			acquired.send(RunnerCall.this);
		}

		@Override
		public void failed(RunnerFailure failure) {
			if (!RunnerCall.this.ended) {
				finish();
				RunnerCall.this.listener.failed(failure);
			}
		}

	}

}
