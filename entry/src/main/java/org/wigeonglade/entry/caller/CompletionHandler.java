package org.wigeonglade.entry.caller;

import java.util.concurrent.TimeUnit;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.completion.CompletionBody;
import org.wigeonglade.entry.completion.CompletionJson;
import org.wigeonglade.entry.completion.Fingerprints;
import org.wigeonglade.entry.completion.JsonReader;
import org.wigeonglade.entry.online.OnlineRequest;
import org.wigeonglade.entry.online.OnlineRuntime;
import org.wigeonglade.entry.online.StreamHandle;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;

/**
 * Handles completions and chat completions.
 */
final class CompletionHandler {

	private final CallerAccess access;

	private final OnlineRuntime online;

	private final Ticker ticker;

	private final JsonReader json;

	CompletionHandler(CallerAccess access, OnlineRuntime online, Ticker ticker, JsonReader json) {
		this.access = access;
		this.online = online;
		this.ticker = ticker;
		this.json = json;
	}

	void handle(RoutingContext context, boolean chat) {
		CallerAccess.Grant grant = this.access.authenticate(context);
		byte[] bytes = context.body().buffer().getBytes();
		CompletionBody body = CompletionBody.of(this.json.readObject(bytes), chat);
		ServiceConfiguration service = grant.serviceOfModel(body.model());
		Profile profile = grant.profile(service.getProfile());
		String id = CallerAccess.requestId(context);
		String traceParent = context.request().getHeader("traceparent");
		OnlineRequest request = new OnlineRequest(RequestId.of(id), WorkspaceId.of(grant.workspace().getName()),
				grant.workspace().getWeight(), ServiceName.of(service.getName()), profile, body.model(), body.prompt(),
				body.maxTokens(), Fingerprints.of(service.getName(), bytes),
				this.ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(profile.getDeadlineMs()),
				(traceParent != null) ? traceParent : "");
		respond(context.response(), request, body);
	}

	private void respond(HttpServerResponse response, OnlineRequest request, CompletionBody body) {
		String id = request.id().value();
		response.putHeader("X-Request-Id", id);
		CompletionJson format = new CompletionJson(id, body, this.ticker.wallMillis() / 1000);
		CompletionSink sink = new CompletionSink(response, format, id, body.stream());
		StreamHandle handle = this.online.run(request, sink);
		sink.attach(handle);
		response.closeHandler((ignored) -> handle.cancel());
	}

}
