package org.wigeonglade.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encoder of the responses of a connection from a caller. Confined to the event loop.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

	private final CallerConnection connection;

	CallerResponseEncoder(CallerConnection connection) {
		this.connection = connection;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) throws Exception {
		super.handlerAdded(context);
		this.connection.setEncoder(context);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		return this.connection.isResponseBodiless() || super.isContentAlwaysEmpty(response);
	}

}
