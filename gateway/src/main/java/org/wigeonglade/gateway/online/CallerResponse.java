package org.wigeonglade.gateway.online;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.runner.RunnerCall;
import org.wigeonglade.gateway.runner.RunnerResponseHead;
import org.wigeonglade.gateway.stream.EventSequence;
import org.wigeonglade.gateway.stream.StreamEvent;

/**
 * The response to a caller. Its parts may come from several runners, one after the other:
 * the head is that of the first runner, and the events of later runners continue the
 * stream without gaps or duplicates. Confined to the event loop.
 */
final class CallerResponse {

	private final CallerExchange exchange;

	private final Ticker ticker;

	private final EventSequence sequence;

	private final boolean stream;

	private long firstByteMillis = -1;

	CallerResponse(CallerExchange exchange, Ticker ticker, EventSequence sequence, boolean stream) {
		this.exchange = exchange;
		this.ticker = ticker;
		this.sequence = sequence;
		this.stream = stream;
	}

	/**
	 * Returns whether reading from the runner is paused because the caller reads too
	 * slowly.
	 * @return true until the caller has taken enough of the response
	 */
	boolean isBlocked() {
		return isCommitted() && !this.exchange.isWritable();
	}

	boolean isCommitted() {
		return this.exchange.isHeadWritten();
	}

	/**
	 * Returns the id of the last event sent to the caller.
	 * @return the id, empty if none was sent and the caller does not resume a stream
	 */
	OptionalLong getLastEventId() {
		return this.sequence.getLast();
	}

	/**
	 * Returns the time from the arrival of the request to the first byte of the response.
	 * @return the time in milliseconds, or -1 if the response has not started
	 */
	long getFirstByteMillis() {
		return this.firstByteMillis;
	}

	/**
	 * Forwards events to the caller, up to the first one that is out of sequence.
	 * @param events the events in order, not null
	 * @param head the head of the runner's response, not null
	 * @param headers the headers of that response, not null
	 * @param source the call to pause while the caller reads too slowly; null if the
	 * response has been received completely
	 * @return why the next event is out of sequence, empty if all events were forwarded
	 */
	Optional<String> writeEvents(List<StreamEvent> events, RunnerResponseHead head, HttpHeaders headers,
			RunnerCall source) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		Optional<String> sequenceError = Optional.empty();
		for (StreamEvent event : events) {
			sequenceError = this.sequence.add(event);
			if (sequenceError.isPresent()) {
				break;
			}
			output.writeBytes(event.bytes());
		}
		if (output.size() > 0) {
			writeBytes(output.toByteArray(), head, headers, source);
		}
		return sequenceError;
	}

	/**
	 * Forwards bytes of the body to the caller.
	 * @param bytes the bytes, not null
	 * @param head the head of the runner's response, not null
	 * @param headers the headers of that response, not null
	 * @param source the call to pause while the caller reads too slowly; null if the
	 * response has been received completely
	 */
	void writeBytes(byte[] bytes, RunnerResponseHead head, HttpHeaders headers, RunnerCall source) {
		writeHead(head, headers);
		this.exchange.write(bytes);
		if (source != null && !this.exchange.isWritable()) {
			source.setReading(false);
			this.exchange.onWritable(() -> source.setReading(true));
		}
	}

	/**
	 * Completes the response.
	 * @param head the head of the response from the last runner, not null
	 * @param headers the headers of that response, not null
	 * @return false if the response was aborted, because its body does not have the
	 * length in its head
	 */
	boolean complete(RunnerResponseHead head, HttpHeaders headers) {
		writeHead(head, headers);
		return this.exchange.complete();
	}

	private void writeHead(RunnerResponseHead head, HttpHeaders headers) {
		if (!this.exchange.isHeadWritten()) {
			this.firstByteMillis = this.ticker.millis() - this.exchange.getArrivedMillis();
			if (this.stream && head.isSuccess()) {
				this.exchange.writeStreamHead(head.status(), headers);
			}
			else {
				this.exchange.writeHead(head.status(), headers);
			}
		}
	}

}
