package org.wigeonglade.entry.caller;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.entry.completion.CompletionBody;
import org.wigeonglade.entry.completion.CompletionResponseWriter;
import org.wigeonglade.entry.completion.Fingerprints;
import org.wigeonglade.entry.completion.JsonReader;
import org.wigeonglade.entry.online.OnlineRequest;
import org.wigeonglade.entry.online.StreamHandle;
import org.wigeonglade.entry.online.StreamSink;
import org.wigeonglade.entry.operator.HopTracer;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;

/**
 * HTTP handler of completions and chat completions.
 */
final class CompletionHandler {

	private final CallerAuthenticator authenticator;

	private final CallerContext parts;

	private final KeyedCalls keyedCalls;

	private final JsonReader jsonReader;

	private final RequestTracker requests;

	CompletionHandler(CallerAuthenticator authenticator, CallerContext parts, KeyedCalls keyedCalls,
			JsonReader jsonReader, RequestTracker requests) {
		this.authenticator = authenticator;
		this.parts = parts;
		this.keyedCalls = keyedCalls;
		this.jsonReader = jsonReader;
		this.requests = requests;
	}

	void handle(RoutingContext context, boolean chat) {
		CallerAuthenticator.AuthenticatedCaller caller = this.authenticator.authenticate(context);
		Buffer buffer = context.body().buffer();
		byte[] bytes = (buffer != null) ? buffer.getBytes() : new byte[0];
		CompletionBody body = CompletionBody.of(this.jsonReader.readObject(bytes), chat);
		ServiceConfiguration service = caller.findServiceForModel(body.model());
		Profile profile = caller.findProfile(service.getProfile());
		this.requests.checkLimit(Duration.ofMillis(profile.getDeadlineMs()));
		HopTracer.HopSpan hop = this.parts.tracer().start("caller", context.request().getHeader("traceparent"));
		OnlineRequest request = new OnlineRequest(RequestId.of(CallerAuthenticator.requestId(context)),
				WorkspaceId.of(caller.workspace().getName()), caller.workspace().getWeight(),
				ServiceName.of(service.getName()), profile, body.model(), body.prompt(), body.maxTokens(),
				Fingerprints.of(service.getName(), bytes), body.sharedParts(),
				this.parts.ticker().nanos() + TimeUnit.MILLISECONDS.toNanos(profile.getDeadlineMs()),
				hop.getTraceParent());
		if (!profile.getIdempotent() && !KeyedCalls.idempotencyKey(context).isEmpty()) {
			this.keyedCalls.run(context, request.workspace(), bytes, (loop, responder) -> this.parts.online()
				.run(request, new KeyedSink(newResponseWriter(request, body), responder, hop)));
			return;
		}
		runWithoutKey(context, request, body, hop);
	}

	private void runWithoutKey(RoutingContext context, OnlineRequest request, CompletionBody body,
			HopTracer.HopSpan hop) {
		HttpServerResponse response = context.response();
		CompletionSink sink = new CompletionSink(response, newResponseWriter(request, body), request, body.stream(),
				new RequestObserver(this.parts, request, hop));
		StreamHandle handle = this.parts.online().run(request, sink);
		sink.setHandle(handle);
		response.closeHandler((ignored) -> {
			if (!response.ended()) {
				handle.cancel();
				sink.clientDisconnected();
			}
		});
	}

	private CompletionResponseWriter newResponseWriter(OnlineRequest request, CompletionBody body) {
		return new CompletionResponseWriter(request.id().value(), body, this.parts.ticker().wallMillis() / 1000);
	}

	/**
	 * Collects a response that is stored under its idempotency key before it is sent. The
	 * request continues if the caller disconnects, because it must not run twice.
	 */
	private static final class KeyedSink implements StreamSink {

		private final CompletionResponseWriter writer;

		private final KeyedCalls.Responder responder;

		private final HopTracer.HopSpan hop;

		private final StringBuilder text = new StringBuilder();

		private KeyedSink(CompletionResponseWriter writer, KeyedCalls.Responder responder, HopTracer.HopSpan hop) {
			this.writer = writer;
			this.responder = responder;
			this.hop = hop;
		}

		@Override
		public void onToken(EngineEvent.Token token) {
			this.text.append(token.text());
		}

		@Override
		public void onEnd(EngineEvent.End end) {
			this.hop.end();
			this.responder.respond(200, "application/json",
					this.writer.completeResponse(this.text.toString(), end).getBytes());
		}

		@Override
		public void onFailure(WigeongladeException failure) {
			this.hop.fail(failure);
			this.responder.fail(failure);
		}

	}

}
