package org.wigeonglade.gateway.http;

import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One completely received request of a caller and its response. Confined to the event
 * loop.
 */
public final class CallerExchange {

	private static final long UNKNOWN_LENGTH = -1;

	private static final int CRLF = '\r' << 8 | '\n';

	/** The length of a chunk in hexadecimal digits, and two line ends. */
	private static final int MAX_CHUNK_FRAMING_BYTES = 12;

	private final CallerConnection connection;

	private final HttpRequest request;

	private final byte[] body;

	private final long arrivedMillis;

	private Runnable disconnectListener = () -> {
	};

	private Runnable writableListener = () -> {
	};

	private boolean headWritten;

	private boolean closeAnnounced;

	private boolean endsWithConnection;

	private boolean chunked;

	private long remainingLength = UNKNOWN_LENGTH;

	private ByteBuf lastPart = Unpooled.EMPTY_BUFFER;

	private boolean ended;

	CallerExchange(CallerConnection connection, HttpRequest request, byte[] body, long arrivedMillis) {
		this.connection = connection;
		this.request = request;
		this.body = body;
		this.arrivedMillis = arrivedMillis;
	}

	/**
	 * Returns the head of the request.
	 * @return the head, never null
	 */
	public HttpRequest getRequest() {
		return this.request;
	}

	/**
	 * Returns the path without query.
	 * @return the path, never null
	 */
	public String getPath() {
		String uri = this.request.uri();
		int query = uri.indexOf('?');
		return (query >= 0) ? uri.substring(0, query) : uri;
	}

	/**
	 * Returns the body of the request.
	 * @return the body, empty if there is none
	 */
	public byte[] getBody() {
		return this.body;
	}

	/**
	 * Returns the time at which the request was completely received.
	 * @return the monotonic time in milliseconds
	 */
	public long getArrivedMillis() {
		return this.arrivedMillis;
	}

	/**
	 * Sets the listener to a disconnect of the caller before the response is complete.
	 * @param listener called at most once, not null
	 */
	public void onDisconnect(Runnable listener) {
		this.disconnectListener = listener;
	}

	/**
	 * Sets the listener that is called when the response becomes writable again.
	 * @param listener the listener, not null
	 */
	public void onWritable(Runnable listener) {
		this.writableListener = listener;
	}

	/**
	 * Returns whether the head of the response was written.
	 * @return true if the status can no longer be changed
	 */
	public boolean isHeadWritten() {
		return this.headWritten;
	}

	/**
	 * Returns whether the exchange has ended.
	 * @return true after a complete response, an abort, or a disconnect of the caller
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether more of the response may be written.
	 * @return false while the caller reads too slowly and the write buffer is full
	 */
	public boolean isWritable() {
		return channel().isWritable();
	}

	/**
	 * Sends a complete response. Ignored if the exchange has ended.
	 * @param status the HTTP status
	 * @param headers the headers, may be empty
	 * @param content the body, not null
	 */
	public void respond(int status, List<Map.Entry<String, String>> headers, byte[] content) {
		if (this.ended) {
			return;
		}
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
		headers.forEach((h) -> response.headers().add(h.getKey(), h.getValue()));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
		this.headWritten = true;
		finish(response);
	}

	/**
	 * Writes the head of a response whose body follows in parts and has the length that
	 * the headers contain, if any.
	 * @param status the HTTP status
	 * @param headers the headers; hop-by-hop headers are not written
	 */
	public void writeHead(int status, HttpHeaders headers) {
		if (!this.ended) {
			HttpResponse response = responseOf(status, headers);
			if (mayHaveBody(status)) {
				this.remainingLength = HttpUtil.getContentLength(response, UNKNOWN_LENGTH);
			}
			writeHead(response);
		}
	}

	/**
	 * Writes the head of a response whose body follows in parts from several sources. A
	 * Content-Length is not written, since it is that of a single source.
	 * @param status the HTTP status
	 * @param headers the headers; hop-by-hop headers are not written
	 */
	public void writeStreamHead(int status, HttpHeaders headers) {
		if (!this.ended) {
			HttpResponse response = responseOf(status, headers);
			response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
			writeHead(response);
		}
	}

	private static HttpResponse responseOf(int status, HttpHeaders headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		response.headers().add(headers);
		HopByHopHeaders.strip(response.headers());
		return response;
	}

	private boolean mayHaveBody(int status) {
		return !HttpMethod.HEAD.equals(this.request.method()) && status != HttpResponseStatus.NO_CONTENT.code()
				&& status != HttpResponseStatus.RESET_CONTENT.code()
				&& status != HttpResponseStatus.NOT_MODIFIED.code();
	}

	private void writeHead(HttpResponse response) {
		if (!HttpUtil.isContentLengthSet(response)) {
			// HTTP/1.0 has no chunks.
			this.endsWithConnection = this.request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
			HttpUtil.setTransferEncodingChunked(response, !this.endsWithConnection);
			this.chunked = !this.endsWithConnection && mayHaveBody(response.status().code());
			setReset(true);
		}
		if (this.endsWithConnection || this.connection.isClosingAfter(this.request)) {
			this.closeAnnounced = true;
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		this.headWritten = true;
		channel().write(response);
	}

	/**
	 * Writes a part of the body. The part that completes the length of the body is held
	 * back until {@link #complete()}, and one that exceeds the length aborts the
	 * response.
	 * @param content the part, not null
	 */
	public void write(byte[] content) {
		if (this.ended || content.length == 0) {
			return;
		}
		if (this.remainingLength != UNKNOWN_LENGTH) {
			if (content.length > this.remainingLength) {
				abort();
				return;
			}
			this.remainingLength -= content.length;
			if (this.remainingLength == 0) {
				this.lastPart = Unpooled.wrappedBuffer(content);
				return;
			}
		}
		if (this.chunked) {
			this.connection.writeEncoded(encodeChunk(content));
		}
		else {
			channel().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(content)));
		}
		this.connection.written();
	}

	// One buffer takes a fraction of the time of the three that the encoder writes.
	private ByteBuf encodeChunk(byte[] content) {
		ByteBuf chunk = channel().alloc().buffer(content.length + MAX_CHUNK_FRAMING_BYTES);
		ByteBufUtil.writeAscii(chunk, Integer.toHexString(content.length));
		chunk.writeShort(CRLF);
		chunk.writeBytes(content);
		return chunk.writeShort(CRLF);
	}

	/**
	 * Completes a response whose head was written. Aborts it if its body is shorter than
	 * the length in its head.
	 * @return false if the response was aborted, now or before
	 */
	public boolean complete() {
		if (this.remainingLength > 0) {
			abort();
		}
		if (this.ended) {
			return false;
		}
		setReset(false);
		finish(new DefaultLastHttpContent(this.lastPart));
		return true;
	}

	/**
	 * Aborts the response by closing the connection, so that it does not look complete.
	 */
	public void abort() {
		if (!this.ended) {
			this.ended = true;
			this.connection.abort();
		}
	}

	void notifyDisconnected() {
		if (!this.ended) {
			this.ended = true;
			this.disconnectListener.run();
		}
	}

	void notifyWritable() {
		this.writableListener.run();
	}

	private void finish(Object last) {
		this.ended = true;
		boolean close = this.closeAnnounced || this.connection.isClosingAfter(this.request);
		if (close && last instanceof HttpResponse response) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		var written = channel().writeAndFlush(last);
		if (close) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.connection.exchangeEnded(close);
		this.connection.written();
	}

	// A regular close marks the end of a body that has no other end, so a close before it
	// must reset the connection.
	private void setReset(boolean reset) {
		if (this.endsWithConnection && channel().isOpen()) {
			channel().config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
		}
	}

	private Channel channel() {
		return this.connection.getChannel();
	}

}
