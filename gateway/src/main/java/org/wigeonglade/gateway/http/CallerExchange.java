package org.wigeonglade.gateway.http;

import java.util.List;
import java.util.Map;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One request of a caller and the way to answer it. The request has been read whole.
 * Confined to the event loop.
 */
public final class CallerExchange {

	private final CallerConnection connection;

	private final HttpRequest request;

	private final byte[] body;

	private final long arrivedMillis;

	private Runnable goneListener = () -> {
	};

	private Runnable writableListener = () -> {
	};

	private boolean headWritten;

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
	 * Returns when the request had arrived.
	 * @return the monotonic time in milliseconds
	 */
	public long getArrivedMillis() {
		return this.arrivedMillis;
	}

	/**
	 * Sets what happens when the caller leaves before the answer is complete.
	 * @param listener the listener, not null
	 */
	public void onGone(Runnable listener) {
		this.goneListener = listener;
	}

	/**
	 * Sets what happens when a slow caller has taken what was written.
	 * @param listener the listener, not null
	 */
	public void onWritable(Runnable listener) {
		this.writableListener = listener;
	}

	/**
	 * Returns whether the head of an answer was written.
	 * @return true if it was
	 */
	public boolean isHeadWritten() {
		return this.headWritten;
	}

	/**
	 * Returns whether the exchange is over.
	 * @return true after a complete answer, an abort, or when the caller has left
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns whether the caller takes what is written.
	 * @return false while too much waits to be sent
	 */
	public boolean isWritable() {
		return channel().isWritable();
	}

	/**
	 * Answers with a whole body.
	 * @param status the status
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
	 * Begins an answer whose body follows in parts.
	 * @param status the status
	 * @param headers the headers; those of a single connection are left out
	 */
	public void begin(int status, HttpHeaders headers) {
		if (this.ended) {
			return;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		response.headers().add(headers);
		HopHeaders.strip(response.headers());
		if (!HttpUtil.isContentLengthSet(response)) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		if (this.connection.isClosingAfter(this.request)) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		this.headWritten = true;
		channel().write(response);
	}

	/**
	 * Writes a part of the body.
	 * @param content the part, not null
	 */
	public void write(byte[] content) {
		if (!this.ended) {
			channel().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(content)));
		}
	}

	/**
	 * Completes an answer that was begun.
	 */
	public void complete() {
		if (!this.ended) {
			finish(new DefaultLastHttpContent());
		}
	}

	/**
	 * Closes the connection, so that the answer does not look complete.
	 */
	public void abort() {
		if (!this.ended) {
			this.ended = true;
			this.connection.abort();
		}
	}

	void gone() {
		if (!this.ended) {
			this.ended = true;
			this.goneListener.run();
		}
	}

	void writable() {
		this.writableListener.run();
	}

	private void finish(Object last) {
		this.ended = true;
		boolean close = this.connection.isClosingAfter(this.request);
		if (close && last instanceof HttpResponse response) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		var written = channel().writeAndFlush(last);
		if (close) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.connection.exchangeEnded(close);
	}

	private Channel channel() {
		return this.connection.getChannel();
	}

}
