package org.wigeonglade.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.wigeonglade.core.http.BodyFraming;
import org.wigeonglade.core.http.FieldLine;
import org.wigeonglade.core.http.StatusLine;

/**
 * Splits the bytes of a connection into responses. The only place that decides where one
 * response ends and the next begins. It accepts no form that the bytes of two responses
 * may have together, and finds nothing more after a malformed part. Not thread-safe.
 */
final class ResponseParser {

	/** Largest head, and largest trailers, in bytes. */
	private static final int MAX_HEAD_BYTES = 64 * 1024;

	/** Up to 15 digits fit a long. */
	private static final Pattern CHUNK_SIZE = Pattern.compile("([0-9A-Fa-f]{1,15})[ \\t]*(;.*)?");

	/** Number of heads whose copies are recognised; copies come soon after them. */
	private static final int MAX_HEADS = 4;

	private static final int SWITCHING_PROTOCOLS = 101;

	private final Predicate<FieldLine> namesRequest;

	private final StringBuilder line = new StringBuilder();

	private final Deque<String> heads = new ArrayDeque<>();

	private State state = State.STATUS_LINE;

	private StatusLine statusLine;

	private final List<FieldLine> fields = new ArrayList<>();

	private int lineBytes;

	private boolean bodiless;

	private boolean skipping;

	private EmbeddedHeadDetector detector;

	private long remaining;

	private ResponsePart.Malformed fault;

	private final ByteArrayOutputStream excerpt = new ByteArrayOutputStream();

	/**
	 * Creates a parser at the start of a connection.
	 * @param namesRequest tests whether a field has the id of a request that the
	 * connection carries or has carried, not null
	 */
	ResponseParser(Predicate<FieldLine> namesRequest) {
		this.namesRequest = namesRequest;
		this.detector = new EmbeddedHeadDetector(namesRequest);
	}

	/**
	 * Sets whether the request in progress is one whose responses have no body.
	 * @param bodiless true for a request with the method HEAD
	 */
	void setBodiless(boolean bodiless) {
		this.bodiless = bodiless;
	}

	/**
	 * Returns where in a response the bytes have ended so far.
	 * @return a description for the log, never null
	 */
	String getPosition() {
		return switch (this.state) {
			case STATUS_LINE -> (this.lineBytes > 0) ? "within the head of a response" : "before a response";
			case FIELDS -> "within the head of a response";
			case LENGTH_BODY, CLOSE_BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS -> "within a response";
			case END -> "at the end of a response";
			case MALFORMED -> "after a malformed response";
		};
	}

	/**
	 * Reads the next part.
	 * @param bytes the bytes that were received, from which those of the part are read;
	 * not null
	 * @return the part; incomplete if all bytes were read
	 */
	ResponsePart next(ByteBuf bytes) {
		Optional<ResponsePart> part = Optional.empty();
		while (part.isEmpty()) {
			part = switch (this.state) {
				case STATUS_LINE, FIELDS, CHUNK_SIZE, CHUNK_END, TRAILERS -> readLine(bytes);
				case LENGTH_BODY, CHUNK_DATA, CLOSE_BODY -> readBody(bytes);
				case END -> Optional.of(readEnd(bytes));
				case MALFORMED -> Optional.of(this.fault);
			};
		}
		return part.get();
	}

	/**
	 * Skips the response whose head was read last. Bytes behind it are expected, since it
	 * is followed by the one that is due.
	 */
	void skip() {
		this.skipping = true;
	}

	/**
	 * Ends a response that only further bytes could have shown to be joined with another
	 * one. To be called when all bytes that have arrived were read.
	 * @return the end of the response, malformed if it ends within a head, or incomplete
	 * if none waits for it
	 */
	ResponsePart settle() {
		if (this.state != State.END) {
			return new ResponsePart.Incomplete();
		}
		Optional<String> unfinished = this.skipping ? Optional.empty() : this.detector.getUnfinishedHead();
		if (unfinished.filter(this::isCopy).isPresent()) {
			return malformed("the body ends within a copy of a head").get();
		}
		enter(State.STATUS_LINE);
		return new ResponsePart.End();
	}

	/**
	 * Ends the response at the end of the connection.
	 * @param end why the connection carries no further bytes, not null
	 * @return the end of the response, malformed if it ends within a head, or incomplete
	 * if it is not whole
	 */
	ResponsePart close(ConnectionEnd end) {
		if (this.state == State.CLOSE_BODY && end.isEndOfResponse()) {
			this.state = State.END;
		}
		return settle();
	}

	private Optional<ResponsePart> readLine(ByteBuf bytes) {
		int length = bytes.bytesBefore((byte) '\n');
		int read = (length < 0) ? bytes.readableBytes() : length + 1;
		this.lineBytes += read;
		if (this.lineBytes > MAX_HEAD_BYTES) {
			return malformed(
					"the head, the trailers or the line of a chunk is larger than " + MAX_HEAD_BYTES + " bytes");
		}
		for (int i = 0; i < read; i++) {
			byte value = bytes.readByte();
			this.line.append((char) (value & 0xff));
			if (this.excerpt.size() <= ByteExcerpt.MAX_BYTES) {
				this.excerpt.write(value);
			}
		}
		if (length < 0) {
			return Optional.of(new ResponsePart.Incomplete());
		}
		String ended = this.line.toString();
		this.line.setLength(0);
		return ended.endsWith("\r\n") ? readLine(ended.substring(0, ended.length() - 2))
				: malformed("a line does not end with CR LF");
	}

	private Optional<ResponsePart> readLine(String text) {
		return switch (this.state) {
			case STATUS_LINE -> readStatusLine(text);
			case FIELDS -> text.isEmpty() ? endHead() : readField(text);
			case CHUNK_SIZE -> readChunkSize(text);
			case CHUNK_END -> text.isEmpty() ? enter(State.CHUNK_SIZE) : malformed("a chunk is longer than its size");
			case TRAILERS -> text.isEmpty() ? enter(State.END) : readField(text);
			case LENGTH_BODY, CHUNK_DATA, CLOSE_BODY, END, MALFORMED ->
				throw new IllegalStateException("no line is read in state " + this.state);
		};
	}

	private Optional<ResponsePart> readStatusLine(String text) {
		Optional<StatusLine> parsed = StatusLine.parse(text);
		if (parsed.isEmpty()) {
			return malformed("the first line is no status line");
		}
		if (!parsed.get().isDefined()) {
			return malformed("the status " + parsed.get().status() + " is not within 100 to 599");
		}
		this.statusLine = parsed.get();
		this.fields.clear();
		this.skipping = false;
		this.detector = new EmbeddedHeadDetector(this.namesRequest);
		this.state = State.FIELDS;
		return Optional.empty();
	}

	private Optional<ResponsePart> readField(String text) {
		Optional<FieldLine> field = FieldLine.parse(text);
		if (field.isEmpty()) {
			return malformed("a line of the head or of the trailers is no field");
		}
		if (this.state == State.FIELDS) {
			this.fields.add(field.get());
		}
		else if (BodyFraming.isFraming(field.get())) {
			return malformed("the trailers frame a body");
		}
		return Optional.empty();
	}

	private Optional<ResponsePart> endHead() {
		if (this.statusLine.status() == SWITCHING_PROTOCOLS) {
			return malformed("the protocol is switched without a request for it");
		}
		if (this.statusLine.status() / 100 == 1) {
			enter(State.STATUS_LINE);
			return Optional.of(new ResponsePart.Head(toResponse(), false));
		}
		rememberHead();
		BodyFraming stated = BodyFraming.of(this.statusLine, this.fields, false);
		if (stated instanceof BodyFraming.Ambiguous ambiguous) {
			return malformed(ambiguous.reason());
		}
		beginBody(this.bodiless ? new BodyFraming.None() : stated);
		return Optional.of(new ResponsePart.Head(toResponse(), stated instanceof BodyFraming.UntilClose));
	}

	private void beginBody(BodyFraming framing) {
		switch (framing) {
			case BodyFraming.None none -> enter(State.END);
			case BodyFraming.Length length -> {
				this.remaining = length.bytes();
				enter((this.remaining > 0) ? State.LENGTH_BODY : State.END);
			}
			case BodyFraming.Chunks chunks -> enter(State.CHUNK_SIZE);
			case BodyFraming.UntilClose untilClose -> enter(State.CLOSE_BODY);
			case BodyFraming.Ambiguous ambiguous ->
				throw new IllegalStateException("no end of the body: " + ambiguous.reason());
		}
	}

	private void rememberHead() {
		if (this.heads.size() == MAX_HEADS) {
			this.heads.removeFirst();
		}
		String head = this.excerpt.toString(StandardCharsets.ISO_8859_1);
		this.heads.add(head.substring(0, Math.min(head.length(), EmbeddedHeadDetector.MAX_HEAD_BYTES)));
	}

	// A copy repeats the bytes of a head of the connection.
	private boolean isCopy(String beginning) {
		return this.heads.stream().anyMatch((head) -> head.startsWith(beginning));
	}

	private HttpResponse toResponse() {
		HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
		this.fields.forEach((field) -> headers.add(field.name(), field.value()));
		return new DefaultHttpResponse(
				(this.statusLine.minorVersion() == 0) ? HttpVersion.HTTP_1_0 : HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.statusLine.status(), this.statusLine.reason()), headers);
	}

	private Optional<ResponsePart> readChunkSize(String text) {
		Matcher matcher = CHUNK_SIZE.matcher(text);
		if (!matcher.matches() || StatusLine.occursIn(text)) {
			return malformed("the line before a chunk names no size");
		}
		this.remaining = Long.parseLong(matcher.group(1), 16);
		return enter((this.remaining > 0) ? State.CHUNK_DATA : State.TRAILERS);
	}

	private Optional<ResponsePart> readBody(ByteBuf bytes) {
		if (!bytes.isReadable()) {
			return Optional.of(new ResponsePart.Incomplete());
		}
		int length = bytes.readableBytes();
		if (this.state != State.CLOSE_BODY) {
			length = (int) Math.min(length, this.remaining);
			this.remaining -= length;
		}
		byte[] part = ByteBufUtil.getBytes(bytes.readSlice(length));
		// What is written into a chunk breaks the framing of the chunks.
		if (this.state != State.CHUNK_DATA || this.skipping) {
			this.detector.add(part);
		}
		if (this.detector.isFound()) {
			this.excerpt.writeBytes(part);
			return malformed("the head of another response begins within a body");
		}
		if (this.state != State.CLOSE_BODY && this.remaining == 0) {
			enter((this.state == State.CHUNK_DATA) ? State.CHUNK_END : State.END);
		}
		return Optional.of(new ResponsePart.Body(part));
	}

	// What was written into a body moves its last bytes behind its end.
	private ResponsePart readEnd(ByteBuf bytes) {
		if (this.skipping || !this.detector.isDoubtful()) {
			return settle();
		}
		return bytes.isReadable() ? malformed("a status line begins within a body, and further bytes follow it").get()
				: new ResponsePart.Incomplete();
	}

	private Optional<ResponsePart> enter(State next) {
		this.state = next;
		this.lineBytes = 0;
		this.excerpt.reset();
		return Optional.empty();
	}

	private Optional<ResponsePart> malformed(String reason) {
		boolean head = this.state == State.STATUS_LINE || this.state == State.FIELDS;
		this.fault = new ResponsePart.Malformed(head ? ResponseFault.Kind.HEAD : ResponseFault.Kind.BODY, reason,
				ByteExcerpt.of(this.excerpt.toByteArray()));
		this.state = State.MALFORMED;
		return Optional.of(this.fault);
	}

	/**
	 * What the next byte belongs to.
	 */
	private enum State {

		/** The first line of a head. */
		STATUS_LINE,

		/** The fields of a head, or the empty line behind them. */
		FIELDS,

		/** A body whose length is known. */
		LENGTH_BODY,

		/** A body that ends with the connection. */
		CLOSE_BODY,

		/** The line before a chunk. */
		CHUNK_SIZE,

		/** The bytes of a chunk. */
		CHUNK_DATA,

		/** The line end behind the bytes of a chunk. */
		CHUNK_END,

		/** The fields behind the last chunk, or the empty line behind them. */
		TRAILERS,

		/** None; the end of the response has not been reported yet. */
		END,

		/** Nothing that is known. */
		MALFORMED

	}

}
