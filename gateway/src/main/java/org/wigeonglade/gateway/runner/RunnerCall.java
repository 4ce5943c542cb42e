package org.wigeonglade.gateway.runner;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeonglade.gateway.fleet.ProcessIdentity;
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

	private final RunnerRequest request;

	private final Listener listener;

	private RunnerEntry runner;

	private ClientConnection connection;

	private boolean startInquired;

	private RunnerResponseHead responseHead;

	private boolean reused;

	private boolean sent;

	private int exchangeNumber;

	private int skippedResponses;

	private int errorBodyBytes;

	private long chargedTokens;

	private boolean ended;

	private boolean readingPaused;

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
		call.chargedTokens = fleet.chargeMemory(runner, request.tokens());
		fleet.adjustInProgress(runner.id(), request.batch(), 1);
		call.acquireConnection();
		return call;
	}

	/**
	 * Returns the runner that is called.
	 * @return the runner; once the request is sent and its response is a stream, the
	 * process that the connection leads to, never null
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
	 * Returns where the response comes from.
	 * @return the use of the connection, never null
	 */
	public ConnectionUse getConnectionUse() {
		return (this.connection != null)
				? new ConnectionUse(this.connection.getNumber(), this.exchangeNumber, this.skippedResponses)
				: ConnectionUse.NONE;
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
		this.readingPaused |= !reading;
		if (!this.ended && this.connection != null) {
			this.connection.setReading(reading);
		}
	}

	/**
	 * Returns whether reading the response was paused at any time.
	 * @return true if the times of events are not those of the runner
	 */
	public boolean isReadingPaused() {
		return this.readingPaused;
	}

	@Override
	public boolean matches(HttpResponse response) {
		RunnerResponseHead head = this.fleet.getProtocol().read(response);
		// A success without an id may be a late copy of a report.
		return head.requestId().isEmpty() ? head.status() / 100 != 2 : head.requestId().get().equals(this.request.id());
	}

	@Override
	public void skipped(HttpResponse response) {
		this.skippedResponses++;
		this.fleet.getPool()
			.getPaths()
			.recordSkipped(this.runner, this.connection, requestId(), this.fleet.getProtocol().read(response));
	}

	@Override
	public Optional<String> findFault(HttpResponse response) {
		return this.fleet.getProtocol().findFault(response);
	}

	@Override
	public void head(HttpResponse response) {
		if (!this.ended) {
			this.responseHead = this.fleet.getProtocol().read(response);
			if (!isRelayed()) {
				this.fleet.getPool().getPaths().recordResponse();
			}
			if (this.responseHead.leaving() && !this.responseHead.wrongRunner()) {
				this.fleet.markLeaving(this.runner.id(), this.runner.startedMillis());
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
			finish(true);
			this.fleet.getPool().release(this.runner.id(), this.connection, this.responseHead);
			this.listener.end();
		}
	}

	@Override
	public void failed(String reason) {
		fail((this.reused && this.responseHead == null) ? RunnerFailure.Kind.STALE_CONNECTION
				: RunnerFailure.Kind.BROKEN, reason);
	}

	@Override
	public void malformed(String reason) {
		fail((this.reused && this.responseHead == null) ? RunnerFailure.Kind.DESYNCHRONIZED
				: RunnerFailure.Kind.MALFORMED, reason);
	}

	// Some time has passed since the call was started: a connection was opened, and its
	// process identified.
	@Override
	public HttpRequest request() {
		Duration remaining = Duration.ofMillis(Math.max(1, this.request.deadlineMillis() - this.fleet.getMillis()));
		HttpHeaders headers = new DefaultHttpHeaders().set(this.request.headers());
		this.fleet.getProtocol().writeIdentity(headers, this.request.identity());
		this.fleet.getProtocol()
			.writeHeaders(headers, this.request.id(), this.runner.id(), remaining, this.request.resumeAfter());
		if (isLengthStated(headers)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, this.request.body().length);
		}
		return new DefaultHttpRequest(HttpVersion.HTTP_1_1, this.request.method(), this.request.uri(), headers);
	}

	@Override
	public byte[] body() {
		return this.request.body();
	}

	@Override
	public Optional<String> requestId() {
		return Optional.of(this.request.id());
	}

	// A server may assume a body of 8 bytes if a GET request without a length has the
	// keys of an early draft of WebSocket.
	private boolean isLengthStated(HttpHeaders headers) {
		return this.request.body().length > 0 || !HttpMethod.GET.equals(this.request.method())
				|| headers.contains(HttpHeaderNames.SEC_WEBSOCKET_KEY1);
	}

	private void acquireConnection() {
		this.fleet.getPool()
			.acquire(this.runner, this.request, this.fleet.connectionLimit(this.runner), new ConnectionListener());
	}

	private void send() {
		this.sent = true;
		this.connection.recordCarried(this.fleet.getProtocol().getIdField(), this.request.id());
		this.exchangeNumber = this.connection.getExchangeCount() + 1;
		this.connection.send(this);
	}

	// The output of a process fits only that of others of its version, so it has to be
	// known which one the connection leads to.
	private void identifyProcess() {
		if (this.connection.getServerStart().isPresent()) {
			processIdentified(this.connection.getServerStart().getAsLong());
		}
		else if (this.startInquired || this.fleet.isReportless(this.runner)) {
			identifyByRegistration();
		}
		else {
			this.startInquired = true;
			this.connection.send(new StartInquiry(this.fleet, this.runner, this.connection, new StartListener()));
		}
	}

	private void processIdentified(long startedMillis) {
		this.connection.setServerStart(startedMillis);
		switch (this.fleet.identify(this.runner, startedMillis)) {
			case ProcessIdentity.Registered registered -> sendIfPermitted(registered.entry());
			case ProcessIdentity.Unregistered unregistered when !isPermitted(unregistered.entry()) ->
				awaitRegistration(unregistered.entry());
			case ProcessIdentity.Unregistered unregistered -> sendIfPermitted(unregistered.entry());
			case ProcessIdentity.Former former -> {
				finish();
				this.fleet.getPool().discard(this.runner.id(), this.connection);
				this.listener.failed(new RunnerFailure(RunnerFailure.Kind.RESTARTED,
						"the connection leads to an earlier process of the runner"));
			}
		}
	}

	private void awaitRegistration(RunnerEntry unregistered) {
		Runnable decide = () -> {
			if (!this.ended) {
				sendIfPermitted(this.fleet.getDirectory()
					.find(unregistered.id())
					.filter((entry) -> entry.startedMillis() == unregistered.startedMillis())
					.orElse(unregistered));
			}
		};
		this.fleet.refreshRegistrations(decide, decide);
	}

	// The runner does not tell when it started. What is registered after the connection
	// was opened is the process that accepted it, if runners register when they start.
	private void identifyByRegistration() {
		this.fleet.refreshRegistrations(() -> {
			if (!this.ended) {
				RunnerEntry registered = this.fleet.getDirectory().find(this.runner.id()).orElse(this.runner);
				this.connection.setServerStart(registered.startedMillis());
				sendIfPermitted(registered);
			}
		}, () -> {
			if (!this.ended) {
				sendIfPermitted(this.runner.withUnknownProcess());
			}
		});
	}

	private void sendIfPermitted(RunnerEntry process) {
		if (isPermitted(process)) {
			this.runner = process;
			send();
			return;
		}
		finish();
		this.fleet.getPool().releaseUnused(this.runner.id(), this.connection);
		this.listener.failed(process.version().isKnown()
				? new RunnerFailure(RunnerFailure.Kind.RESTARTED,
						"the runner has started again with version " + process.version())
				: new RunnerFailure(RunnerFailure.Kind.UNIDENTIFIED,
						"the version of the runner's process is not known"));
	}

	private boolean isPermitted(RunnerEntry process) {
		return this.request.binding().filter((binding) -> !binding.permits(process)).isEmpty();
	}

	private void fail(RunnerFailure.Kind kind, String reason) {
		if (!this.ended) {
			finish();
			this.fleet.getPool().discard(this.runner.id(), this.connection);
			this.listener.failed(new RunnerFailure(kind, reason));
		}
	}

	private void finish() {
		finish(false);
	}

	private void finish(boolean complete) {
		this.ended = true;
		this.fleet.releaseMemory(this.runner.id(), this.chargedTokens, complete || !this.sent);
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

	private final class StartListener implements StartInquiry.Listener {

		@Override
		public void answered(long startedMillis) {
			if (RunnerCall.this.ended) {
				return;
			}
			if (RunnerCall.this.connection.isOpen()) {
				processIdentified(startedMillis);
			}
			else {
				acquireAnother();
			}
		}

		@Override
		public void unanswered() {
			if (!RunnerCall.this.ended) {
				RunnerCall.this.fleet.recordReportless(RunnerCall.this.runner);
				acquireAnother();
			}
		}

		private void acquireAnother() {
			RunnerCall.this.fleet.getPool().discard(RunnerCall.this.runner.id(), RunnerCall.this.connection);
			RunnerCall.this.connection = null;
			acquireConnection();
		}

		@Override
		public void failed(String reason) {
			if (!RunnerCall.this.ended) {
				finish();
				RunnerCall.this.fleet.getPool().discard(RunnerCall.this.runner.id(), RunnerCall.this.connection);
				RunnerFailure.Kind kind = RunnerCall.this.reused ? RunnerFailure.Kind.RESTARTED
						: RunnerFailure.Kind.UNREACHABLE;
				RunnerCall.this.listener.failed(new RunnerFailure(kind, reason));
			}
		}

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
			RunnerCall.this.exchangeNumber = acquired.getExchangeCount();
			if (RunnerCall.this.request.binding().isPresent()) {
				identifyProcess();
			}
			else {
				send();
			}
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
