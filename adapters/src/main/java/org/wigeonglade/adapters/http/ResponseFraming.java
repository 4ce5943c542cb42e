package org.wigeonglade.adapters.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.wigeonglade.core.http.BodyFraming;
import org.wigeonglade.core.http.FieldLine;
import org.wigeonglade.core.http.ResponseHeadSyntax;
import org.wigeonglade.core.http.StatusLine;
import org.wigeonglade.core.http.StatusLineScanner;

/**
 * Finds the ends of the responses on a connection on which at most one request is in
 * progress. Bytes that belong to no request, heads and chunks that are not strictly
 * formed, and bodies that only the end of the connection delimits are rejected. Interim
 * responses are dropped. Not thread-safe.
 */
final class ResponseFraming {

	/** Header with the id of a request, which a server may echo in its response. */
	static final String EXCHANGE_ID = "x-exchange-id";

	/** HTTP/1.1; the decoder knows no later version. */
	private static final int MAX_MINOR_VERSION = 1;

	private static final int MAX_HEAD_BYTES = 16 * 1024;

	private static final int MAX_CHUNK_LINE_BYTES = 256;

	private static final String LINE_END = "\r\n";

	private static final String HEAD_END = "\r\n\r\n";

	private static final Pattern CHUNK_LINE = Pattern
		.compile("([0-9A-Fa-f]{1,8})(?:[ \\t]*;(?:(?!HTTP/)[^\\p{Cntrl}])*)?\r\n");

	private static final int HEXADECIMAL = 16;

	/** Largest number of interim responses to a request; a server sends one or two. */
	private static final int MAX_INTERIM_HEADS = 16;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int OK = 200;

	private static final int RESET_CONTENT = 205;

	/** The bytes of an incomplete head, chunk line or trailer section. */
	private final StringBuilder section = new StringBuilder();

	private State state = State.IDLE;

	private StatusLineScanner body = new StatusLineScanner();

	private boolean bodiless;

	private String id;

	private boolean idNamed;

	private long requests;

	private long remaining;

	private int interimHeads;

	/**
	 * Expects the response to a request.
	 * @param method the method of the request
	 * @param exchangeId the id that the server may echo
	 */
	void begin(String method, String exchangeId) {
		if (this.state != State.IDLE) {
			throw new IllegalStateException("a request is in progress on this connection");
		}
		this.bodiless = method.equals("HEAD");
		this.id = exchangeId;
		this.idNamed = false;
		this.interimHeads = 0;
		this.requests++;
		this.body = new StatusLineScanner();
		this.state = State.HEAD;
	}

	/**
	 * Checks the bytes of one read.
	 * @param in the bytes, which are consumed up to the end of the response
	 * @return the bytes of complete heads, chunk lines and trailers, and of bodies; owned
	 * by the caller
	 * @throws MalformedResponseException if any of the consumed bytes are not part of the
	 * response
	 */
	ByteBuf accept(ByteBuf in) {
		CompositeByteBuf out = Unpooled.compositeBuffer(Integer.MAX_VALUE);
		try {
			boolean ended = false;
			while (in.isReadable() && !ended) {
				switch (this.state) {
					case IDLE -> throw new MalformedResponseException("bytes that belong to no request");
					case HEAD -> readHead(in, out);
					case BODY, CHUNK -> readBody(in, out);
					case CHUNK_LINE -> readChunkLine(in, out);
					case CHUNK_END -> readChunkEnd(in, out);
					case TRAILERS -> readTrailers(in, out);
				}
				ended = this.state == State.IDLE;
			}
			return out;
		}
		catch (RuntimeException ex) {
			out.release();
			throw ex;
		}
	}

	/**
	 * Returns whether no request is in progress.
	 * @return true before a request and after its whole response
	 */
	boolean isIdle() {
		return this.state == State.IDLE;
	}

	/**
	 * Checks a whole response by the bytes behind it, which belong to no request. The
	 * connection must not be used again.
	 * @param following the bytes, at least one, which are not consumed
	 * @throws MalformedResponseException if the response cannot be told from a mixture of
	 * two, or from a copy of an earlier one that the due one follows
	 */
	void checkFollowing(ByteBuf following) {
		if (this.body.isFound(following.readableBytes())) {
			throw new MalformedResponseException("a status line may begin within a body, and further bytes follow it");
		}
		StatusLineScanner next = new StatusLineScanner();
		scan(following, next);
		if (next.isFound() && !this.idNamed && this.requests > 1) {
			throw new MalformedResponseException("two responses, of which the first does not name its request");
		}
	}

	private void readHead(ByteBuf in, CompositeByteBuf out) {
		boolean complete = readSection(in, HEAD_END, MAX_HEAD_BYTES);
		for (int i = 0; i < Math.min(this.section.length(), StatusLine.PREFIX_LENGTH); i++) {
			if (!StatusLine.mayHave(i, (byte) this.section.charAt(i))) {
				throw new MalformedResponseException("bytes before the status line");
			}
		}
		if (complete) {
			endHead(this.section.substring(0, this.section.length() - HEAD_END.length()).split(LINE_END, -1), out);
		}
	}

	private void endHead(String[] lines, CompositeByteBuf out) {
		StatusLine statusLine = StatusLine.parse(lines[0])
			.filter((parsed) -> parsed.minorVersion() <= MAX_MINOR_VERSION && parsed.isDefined())
			.orElseThrow(() -> new MalformedResponseException("malformed status line"));
		List<FieldLine> fields = Arrays.stream(lines, 1, lines.length).map(ResponseFraming::parseField).toList();
		if (statusLine.status() == SWITCHING_PROTOCOLS) {
			throw new MalformedResponseException("a change of protocol without a request for it");
		}
		BodyFraming framing = BodyFraming.of(statusLine, fields, this.bodiless);
		if (framing instanceof BodyFraming.Ambiguous ambiguous) {
			throw new MalformedResponseException(ambiguous.reason());
		}
		if (statusLine.status() < OK) {
			if (++this.interimHeads > MAX_INTERIM_HEADS) {
				throw new MalformedResponseException("more than " + MAX_INTERIM_HEADS + " interim responses");
			}
			this.section.setLength(0);
			return;
		}
		fields.stream().filter((field) -> field.isNamed(EXCHANGE_ID)).forEach(this::requireDueId);
		if (!this.bodiless) {
			rejectForbiddenBody(statusLine, fields);
		}
		beginBody(framing);
		passSection(out);
	}

	private static FieldLine parseField(String line) {
		return FieldLine.parse(line).orElseThrow(() -> new MalformedResponseException("malformed field line"));
	}

	private void requireDueId(FieldLine field) {
		if (!field.value().equals(this.id)) {
			throw new MalformedResponseException("the response to another request");
		}
		this.idNamed = true;
	}

	/**
	 * Rejects a body that the status rules out. Some recipients read it as the beginning
	 * of the next response.
	 * @param statusLine the status line
	 * @param fields the fields of the head
	 */
	private static void rejectForbiddenBody(StatusLine statusLine, List<FieldLine> fields) {
		if (statusLine.status() != BodyFraming.NO_CONTENT && statusLine.status() != RESET_CONTENT) {
			return;
		}
		StatusLine withBody = new StatusLine(statusLine.minorVersion(), OK, "");
		BodyFraming stated = BodyFraming.of(withBody, fields, false);
		if (stated instanceof BodyFraming.Chunks
				|| (stated instanceof BodyFraming.Length length && length.bytes() > 0)) {
			throw new MalformedResponseException("a body of a response with status " + statusLine.status());
		}
	}

	private void beginBody(BodyFraming framing) {
		switch (framing) {
			case BodyFraming.None none -> this.state = State.IDLE;
			case BodyFraming.Length length -> {
				this.remaining = length.bytes();
				this.state = (this.remaining > 0) ? State.BODY : State.IDLE;
			}
			case BodyFraming.Chunks chunks -> this.state = State.CHUNK_LINE;
			case BodyFraming.UntilClose untilClose ->
				throw new MalformedResponseException("a body without a length, whose end cannot be verified");
			case BodyFraming.Ambiguous ambiguous -> throw new MalformedResponseException(ambiguous.reason());
		}
	}

	private void readBody(ByteBuf in, CompositeByteBuf out) {
		int length = (int) Math.min(this.remaining, in.readableBytes());
		ByteBuf part = in.readRetainedSlice(length);
		out.addComponent(true, part);
		// What is written into a chunk breaks the framing of the chunks.
		if (this.state == State.BODY) {
			scan(part, this.body);
		}
		this.remaining -= length;
		if (this.remaining == 0) {
			this.state = (this.state == State.BODY) ? State.IDLE : State.CHUNK_END;
		}
	}

	private static void scan(ByteBuf bytes, StatusLineScanner scanner) {
		bytes.forEachByte((value) -> {
			scanner.add(value);
			return true;
		});
	}

	private void readChunkLine(ByteBuf in, CompositeByteBuf out) {
		if (!readSection(in, LINE_END, MAX_CHUNK_LINE_BYTES)) {
			return;
		}
		Matcher matcher = CHUNK_LINE.matcher(this.section);
		if (!matcher.matches()) {
			throw new MalformedResponseException("malformed chunk size");
		}
		this.remaining = Long.parseLong(matcher.group(1), HEXADECIMAL);
		passSection(out);
		this.state = (this.remaining > 0) ? State.CHUNK : State.TRAILERS;
	}

	private void readChunkEnd(ByteBuf in, CompositeByteBuf out) {
		if (readSection(in, LINE_END, LINE_END.length())) {
			passSection(out);
			this.state = State.CHUNK_LINE;
		}
	}

	private void readTrailers(ByteBuf in, CompositeByteBuf out) {
		if (!readSection(in, LINE_END, MAX_HEAD_BYTES)) {
			return;
		}
		String trailers = this.section.toString();
		if (trailers.equals(LINE_END) || trailers.endsWith(HEAD_END)) {
			ResponseHeadSyntax.findTrailerProblem(trailers.getBytes(StandardCharsets.ISO_8859_1))
				.ifPresent((problem) -> {
					throw new MalformedResponseException(problem);
				});
			passSection(out);
			this.state = State.IDLE;
		}
	}

	/**
	 * Reads until the section has the given end or no bytes are left.
	 * @param in the bytes
	 * @param end the end of the section, which ends with a line
	 * @param maxBytes the longest section that is accepted
	 * @return whether the section is complete
	 */
	private boolean readSection(ByteBuf in, String end, int maxBytes) {
		while (in.isReadable()) {
			char next = (char) in.readUnsignedByte();
			boolean afterCarriageReturn = !this.section.isEmpty()
					&& this.section.charAt(this.section.length() - 1) == '\r';
			if ((next == '\n') != afterCarriageReturn) {
				throw new MalformedResponseException("a bare CR or LF");
			}
			if (this.section.length() == maxBytes) {
				throw new MalformedResponseException(
						"a head, chunk line or chunk end of more than " + maxBytes + " bytes");
			}
			this.section.append(next);
			if (next == '\n' && this.section.indexOf(end, this.section.length() - end.length()) >= 0) {
				return true;
			}
		}
		return false;
	}

	private void passSection(CompositeByteBuf out) {
		out.addComponent(true, Unpooled.copiedBuffer(this.section, StandardCharsets.ISO_8859_1));
		this.section.setLength(0);
	}

	private enum State {

		/** No request is in progress. */
		IDLE,

		/** The head of the response is read. */
		HEAD,

		/** A body with a length is read. */
		BODY,

		/** The size of a chunk is read. */
		CHUNK_LINE,

		/** The data of a chunk is read. */
		CHUNK,

		/** The line end after the data of a chunk is read. */
		CHUNK_END,

		/** The trailers of a chunked body are read. */
		TRAILERS

	}

}
