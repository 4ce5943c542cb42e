package org.wigeonglade.gateway.runner;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.http.ClientConnection;
import org.wigeonglade.gateway.http.ClientExchange;

/**
 * Asks the process at the other end of a connection when it started. The answer holds for
 * all further requests on the connection, which ends with the process. Confined to the
 * event loop.
 */
final class StartInquiry implements ClientExchange {

	/** Largest report in bytes; a larger one fails the connection. */
	private static final int MAX_REPORT_BYTES = 256 * 1024;

	private final Fleet fleet;

	private final RunnerProtocol protocol;

	private final RunnerEntry runner;

	private final ClientConnection connection;

	private final Listener listener;

	private final ByteArrayOutputStream report = new ByteArrayOutputStream();

	private boolean ended;

	StartInquiry(Fleet fleet, RunnerEntry runner, ClientConnection connection, Listener listener) {
		this.fleet = fleet;
		this.protocol = fleet.getProtocol();
		this.runner = runner;
		this.connection = connection;
		this.listener = listener;
	}

	@Override
	public HttpRequest request() {
		return this.protocol.createReportRequest(this.runner);
	}

	@Override
	public byte[] body() {
		return new byte[0];
	}

	// A late copy of a response names a request that the connection has carried.
	@Override
	public boolean matches(HttpResponse response) {
		return this.protocol.read(response).requestId().filter(this.connection::hasCarried).isEmpty();
	}

	@Override
	public void skipped(HttpResponse response) {
		this.fleet.getPool()
			.getPaths()
			.recordSkipped(this.runner, this.connection, requestId(), this.protocol.read(response));
	}

	@Override
	public Optional<String> findFault(HttpResponse response) {
		return this.protocol.findFault(response);
	}

	// The body of what is no report may be long.
	@Override
	public void head(HttpResponse response) {
		if (this.protocol.read(response).wrongRunner()) {
			fail("another runner has the address");
		}
		else if (!this.protocol.isReport(response)) {
			this.ended = true;
			this.listener.unanswered();
		}
	}

	@Override
	public void content(byte[] bytes) {
		this.report.write(bytes, 0, bytes.length);
		if (!this.ended && this.report.size() > MAX_REPORT_BYTES) {
			fail("the report of the runner is larger than " + MAX_REPORT_BYTES + " bytes");
		}
	}

	@Override
	public void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		OptionalLong startedMillis = this.protocol.readStart(this.report.toByteArray());
		if (startedMillis.isPresent()) {
			this.listener.answered(startedMillis.getAsLong());
		}
		else {
			this.listener.unanswered();
		}
	}

	@Override
	public void failed(String reason) {
		if (!this.ended) {
			fail(reason);
		}
	}

	private void fail(String reason) {
		this.ended = true;
		this.listener.failed(reason);
	}

	/**
	 * Receives the answer.
	 */
	interface Listener {

		/**
		 * Called with the answer of the runner.
		 * @param startedMillis the start of the process in milliseconds since the epoch
		 */
		void answered(long startedMillis);

		/**
		 * Called when the runner answers without telling when it started. The connection
		 * may not be used any more, since the response may not be complete.
		 */
		void unanswered();

		/**
		 * Called when the connection failed or cannot be used.
		 * @param reason a description for the log, not null
		 */
		void failed(String reason);

	}

}
