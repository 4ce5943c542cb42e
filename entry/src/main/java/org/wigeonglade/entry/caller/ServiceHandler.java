package org.wigeonglade.entry.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.entry.completion.Fingerprints;
import org.wigeonglade.entry.operator.HopTracer;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;

/**
 * HTTP handler that proxies calls to plain services. The profile of the service defines
 * whether calls are idempotent and may be retried.
 */
final class ServiceHandler {

	private static final String PREFIX = "/services/";

	/** Headers that are not forwarded in either direction. */
	private static final Set<String> UNFORWARDED_HEADERS = Set.of("authorization", "idempotency-key", "host",
			"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "expect", "content-length",
			"traceparent");

	private final CallerAuthenticator authenticator;

	private final CallerContext parts;

	private final KeyedCalls keyedCalls;

	private final RequestTracker requests;

	ServiceHandler(CallerAuthenticator authenticator, CallerContext parts, KeyedCalls keyedCalls,
			RequestTracker requests) {
		this.authenticator = authenticator;
		this.parts = parts;
		this.keyedCalls = keyedCalls;
		this.requests = requests;
	}

	void handle(RoutingContext context) {
		CallerAuthenticator.AuthenticatedCaller caller = this.authenticator.authenticate(context);
		String rest = context.request().uri().substring(PREFIX.length());
		int end = indexOfFirst(rest, '/', '?');
		ServiceConfiguration service = caller.findService(rest.substring(0, end));
		if (service.getKind() != ServiceConfiguration.Kind.PLAIN) {
			throw new InvalidRequestException(ErrorCode.NOT_FOUND, "no plain service has this name");
		}
		Profile profile = caller.findProfile(service.getProfile());
		this.requests.checkLimit(Duration.ofMillis(profile.getDeadlineMs()));
		String path = rest.substring(end).startsWith("/") ? rest.substring(end) : "/" + rest.substring(end);
		Buffer buffer = context.body().buffer();
		byte[] body = (buffer != null) ? buffer.getBytes() : new byte[0];
		HopTracer.HopSpan hop = this.parts.tracer().start("service", context.request().getHeader("traceparent"));
		ServiceCall call = new ServiceCall(context.request().method().name(), path, forwardedHeaders(context, hop),
				body, Duration.ofMillis(profile.getDeadlineMs()));
		Fingerprint fingerprint = Fingerprints.of(service.getName(),
				Buffer.buffer(call.method() + " " + path + "\n").appendBytes(body).getBytes());
		PreparedCall prepared = new PreparedCall(ServiceName.of(service.getName()), profile, call, fingerprint, hop,
				this.parts.ticker().nanos() + call.timeout().toNanos());
		if (!profile.getIdempotent() && !KeyedCalls.idempotencyKey(context).isEmpty()) {
			this.keyedCalls.run(context, WorkspaceId.of(caller.workspace().getName()), body,
					(loop, responder) -> runWithKey(prepared, responder));
			return;
		}
		runWithoutKey(context, prepared);
	}

	private void runWithoutKey(RoutingContext context, PreparedCall prepared) {
		Context loop = Vertx.currentContext();
		send(prepared).subscribe().with((reply) -> loop.runOnContext((ignored) -> {
			prepared.hop().end();
			this.parts.metrics().countRequest(prepared.service().value(), "completed");
			sendReply(context.response(), reply);
		}), (failure) -> loop.runOnContext((ignored) -> fail(context, prepared, failure)));
	}

	private void fail(RoutingContext context, PreparedCall prepared, Throwable failure) {
		prepared.hop().fail(failure);
		this.parts.metrics().countRequest(prepared.service().value(), "failed");
		context.fail(failure);
	}

	private void runWithKey(PreparedCall prepared, KeyedCalls.Responder responder) {
		send(prepared).subscribe().with((reply) -> {
			prepared.hop().end();
			responder.respond(reply.status(), contentType(reply), reply.body());
		}, (failure) -> {
			prepared.hop().fail(failure);
			responder.fail(ErrorBody.wrap(failure));
		});
	}

	private Uni<ServiceReply> send(PreparedCall prepared) {
		Duration remaining = Duration.ofNanos(Math.max(0, prepared.deadlineNanos() - this.parts.ticker().nanos()));
		return this.parts.online()
			.getServiceCalls()
			.call(prepared.service(), prepared.profile(), prepared.call().withTimeout(remaining),
					prepared.fingerprint());
	}

	private static void sendReply(HttpServerResponse response, ServiceReply reply) {
		if (response.ended() || response.closed()) {
			return;
		}
		reply.headers().forEach((name, values) -> {
			if (!UNFORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				response.putHeader(name, values);
			}
		});
		response.setStatusCode(reply.status()).end(Buffer.buffer(reply.body()));
	}

	private static String contentType(ServiceReply reply) {
		for (Map.Entry<String, List<String>> header : reply.headers().entrySet()) {
			if (header.getKey().equalsIgnoreCase("content-type") && !header.getValue().isEmpty()) {
				return header.getValue().get(0);
			}
		}
		return "";
	}

	private static Map<String, List<String>> forwardedHeaders(RoutingContext context, HopTracer.HopSpan hop) {
		Map<String, List<String>> headers = new TreeMap<>();
		context.request().headers().forEach((name, value) -> {
			if (!UNFORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				headers.computeIfAbsent(name.toLowerCase(Locale.ROOT), (n) -> new ArrayList<>()).add(value);
			}
		});
		headers.put("x-request-id", List.of(CallerAuthenticator.requestId(context)));
		headers.put("traceparent", List.of(hop.getTraceParent()));
		return headers;
	}

	private static int indexOfFirst(String text, char a, char b) {
		for (int i = 0; i < text.length(); i++) {
			if (text.charAt(i) == a || text.charAt(i) == b) {
				return i;
			}
		}
		return text.length();
	}

	private record PreparedCall(ServiceName service, Profile profile, ServiceCall call, Fingerprint fingerprint,
			HopTracer.HopSpan hop, long deadlineNanos) {
	}

}
