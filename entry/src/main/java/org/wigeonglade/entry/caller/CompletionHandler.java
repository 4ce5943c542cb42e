package org.wigeonglade.entry.caller;

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
 * Handles completions and chat completions.
 */
final class CompletionHandler {

	private final CallerAccess access;

	private final CallerParts parts;

	private final KeyedCalls keyed;

	private final JsonReader json;

	CompletionHandler(CallerAccess access, CallerParts parts, KeyedCalls keyed, JsonReader json) {
		this.access = access;
		this.parts = parts;
		this.keyed = keyed;
		this.json = json;
	}

	void handle(RoutingContext context, boolean chat) {
		CallerAccess.Grant grant = this.access.authenticate(context);
		Buffer buffer = context.body().buffer();
		byte[] bytes = (buffer != null) ? buffer.getBytes() : new byte[0];
		CompletionBody body = CompletionBody.of(this.json.readObject(bytes), chat);
		ServiceConfiguration service = grant.serviceOfModel(body.model());
		Profile profile = grant.profile(service.getProfile());
		HopTracer.Hop hop = this.parts.tracer().start("caller", context.request().getHeader("traceparent"));
		OnlineRequest request = new OnlineRequest(RequestId.of(CallerAccess.requestId(context)),
				WorkspaceId.of(grant.workspace().getName()), grant.workspace().getWeight(),
				ServiceName.of(service.getName()), profile, body.model(), body.prompt(), body.maxTokens(),
				Fingerprints.of(service.getName(), bytes),
				this.parts.ticker().nanos() + TimeUnit.MILLISECONDS.toNanos(profile.getDeadlineMs()),
				hop.getTraceParent());
		if (!profile.getIdempotent() && !KeyedCalls.keyOf(context).isEmpty()) {
			this.keyed.run(context, request.workspace(), bytes, (loop, completion) -> this.parts.online()
				.run(request, new KeyedSink(format(request, body), completion, hop)));
			return;
		}
		respond(context, request, body, hop);
	}

	private void respond(RoutingContext context, OnlineRequest request, CompletionBody body, HopTracer.Hop hop) {
		HttpServerResponse response = context.response();
		CompletionSink sink = new CompletionSink(response, format(request, body), request, body.stream(),
				new RequestObserver(this.parts, request, hop));
		StreamHandle handle = this.parts.online().run(request, sink);
		sink.attach(handle);
		response.closeHandler((ignored) -> {
			if (!response.ended()) {
				handle.cancel();
				sink.clientGone();
			}
		});
	}

	private CompletionResponseWriter format(OnlineRequest request, CompletionBody body) {
		return new CompletionResponseWriter(request.id().value(), body, this.parts.ticker().wallMillis() / 1000);
	}

	/**
	 * Gathers an answer that is stored under its key before it is given. It goes on when
	 * the caller is gone, since the work must not run twice.
	 */
	private static final class KeyedSink implements StreamSink {

		private final CompletionResponseWriter format;

		private final KeyedCalls.Completion completion;

		private final HopTracer.Hop hop;

		private final StringBuilder text = new StringBuilder();

		private KeyedSink(CompletionResponseWriter format, KeyedCalls.Completion completion, HopTracer.Hop hop) {
			this.format = format;
			this.completion = completion;
			this.hop = hop;
		}

		@Override
		public void onToken(EngineEvent.Token token) {
			this.text.append(token.text());
		}

		@Override
		public void onEnd(EngineEvent.End end) {
			this.hop.end();
			this.completion.answer(200, "application/json",
					this.format.completeResponse(this.text.toString(), end).getBytes());
		}

		@Override
		public void onFailure(WigeongladeException failure) {
			this.hop.fail(failure);
			this.completion.fail(failure);
		}

	}

}
