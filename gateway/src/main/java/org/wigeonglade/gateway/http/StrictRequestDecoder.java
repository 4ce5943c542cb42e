package org.wigeonglade.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import org.wigeonglade.core.http.BodyFraming;
import org.wigeonglade.core.http.FieldLine;

/**
 * Decoder of requests that rejects the heads that Netty's decoder repairs, since their
 * bytes may be those of two requests. Nothing behind a rejected head is decoded. Confined
 * to the event loop.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private ByteBuf input;

	// Whether the next line of the input is a field line or the end of a head.
	private boolean betweenFields;

	private boolean folded;

	StrictRequestDecoder(HttpDecoderConfig config) {
		super(config);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		this.input = buffer;
		checkFolding();
		super.decode(context, buffer, out);
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) throws Exception {
		if (!initialLine[1].chars().allMatch((c) -> c > ' ' && c < 0x7f)) {
			throw new IllegalArgumentException("a character of the request target is not visible ASCII");
		}
		HttpMessage message = super.createMessage(initialLine);
		this.betweenFields = true;
		this.folded = false;
		checkFolding();
		return message;
	}

	// Called for each field; the input continues with the next line.
	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		checkFolding();
		return super.splitHeaderName(line, start, length);
	}

	// Called at the end of each head.
	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		this.betweenFields = false;
		if (this.folded) {
			throw new IllegalArgumentException("a field line is folded");
		}
		if (message.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
			throw new IllegalArgumentException("the host is named more than once");
		}
		return switch (BodyFraming.ofRequest(framingFields(message), hasChunks(message))) {
			case BodyFraming.Ambiguous ambiguous -> throw new IllegalArgumentException(ambiguous.reason());
			case BodyFraming.None none -> true;
			case BodyFraming.Length length -> false;
			case BodyFraming.Chunks chunks -> false;
			case BodyFraming.UntilClose untilClose -> throw new IllegalStateException("no framing of a request");
		};
	}

	private static boolean hasChunks(HttpMessage message) {
		return message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
	}

	private static List<FieldLine> framingFields(HttpMessage message) {
		List<FieldLine> fields = new ArrayList<>(1);
		for (String name : BodyFraming.FIELDS) {
			for (String value : message.headers().getAll(name)) {
				fields.add(new FieldLine(name, value));
			}
		}
		return fields;
	}

	// Netty joins folded lines before anybody sees them, and consumes only whole lines.
	private void checkFolding() {
		if (this.betweenFields && this.input.isReadable()) {
			byte next = this.input.getByte(this.input.readerIndex());
			this.folded |= next == ' ' || next == '\t';
		}
	}

}
