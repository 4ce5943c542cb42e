package org.wigeonglade.gateway.online;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.runner.RunnerAnswer;
import org.wigeonglade.gateway.runner.RunnerCall;
import org.wigeonglade.gateway.stream.EventSequence;
import org.wigeonglade.gateway.stream.StreamEvent;

/**
 * The answer to a caller, which may come from several runners one after the other. It
 * keeps the head of the first one, and its events go on without a gap or a repetition.
 * Confined to the event loop.
 */
final class CallerAnswer {

	private final CallerExchange exchange;

	private final Ticker ticker;

	private final EventSequence sequence;

	private long firstMillis = -1;

	CallerAnswer(CallerExchange exchange, Ticker ticker, OptionalLong lastEvent) {
		this.exchange = exchange;
		this.ticker = ticker;
		this.sequence = new EventSequence(lastEvent);
	}

	boolean isBegun() {
		return this.exchange.isHeadWritten();
	}

	/**
	 * Returns the last event that the caller has.
	 * @return the number, empty before the first event
	 */
	OptionalLong getLastEvent() {
		return this.sequence.getLast();
	}

	/**
	 * Returns the time from the arrival of the request to the first byte of the answer.
	 * @return milliseconds, or -1 before that byte
	 */
	long getFirstMillis() {
		return this.firstMillis;
	}

	/**
	 * Passes events on up to the first one that does not follow the last.
	 * @param events the events in order, not null
	 * @param head the head of the answer that they belong to, not null
	 * @param headers the headers of that answer, not null
	 * @param source the call that is read, for a caller that is slower; may be null
	 * @return what is wrong with the next event, empty if all were passed on
	 */
	Optional<String> passEvents(List<StreamEvent> events, RunnerAnswer head, HttpHeaders headers, RunnerCall source) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		Optional<String> fault = Optional.empty();
		for (StreamEvent event : events) {
			fault = this.sequence.add(event);
			if (fault.isPresent()) {
				break;
			}
			output.writeBytes(event.bytes());
		}
		if (output.size() > 0) {
			passBytes(output.toByteArray(), head, headers, source);
		}
		return fault;
	}

	/**
	 * Passes bytes of the body on.
	 * @param bytes the bytes, not null
	 * @param head the head of the answer that they belong to, not null
	 * @param headers the headers of that answer, not null
	 * @param source the call that is read, for a caller that is slower; may be null
	 */
	void passBytes(byte[] bytes, RunnerAnswer head, HttpHeaders headers, RunnerCall source) {
		begin(head, headers);
		this.exchange.write(bytes);
		if (source != null && !this.exchange.isWritable()) {
			source.setReading(false);
			this.exchange.onWritable(() -> source.setReading(true));
		}
	}

	/**
	 * Completes the answer.
	 * @param head the head of the answer that it ends with, not null
	 * @param headers the headers of that answer, not null
	 */
	void complete(RunnerAnswer head, HttpHeaders headers) {
		begin(head, headers);
		this.exchange.complete();
	}

	private void begin(RunnerAnswer head, HttpHeaders headers) {
		if (!this.exchange.isHeadWritten()) {
			this.firstMillis = this.ticker.millis() - this.exchange.getArrivedMillis();
			this.exchange.begin(head.status(), headers);
		}
	}

}
