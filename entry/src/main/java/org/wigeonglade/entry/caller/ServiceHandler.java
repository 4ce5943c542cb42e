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
 * Passes calls through to plain services. The profile of the service says whether a call
 * may be repeated.
 */
final class ServiceHandler {

	private static final String PREFIX = "/services/";

	/** Headers of the caller that stay between it and this system. */
	private static final Set<String> PRIVATE_HEADERS = Set.of("authorization", "idempotency-key", "host", "connection",
			"keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "expect", "content-length", "traceparent");

	private final CallerAccess access;

	private final CallerParts parts;

	private final KeyedCalls keyed;

	ServiceHandler(CallerAccess access, CallerParts parts, KeyedCalls keyed) {
		this.access = access;
		this.parts = parts;
		this.keyed = keyed;
	}

	void handle(RoutingContext context) {
		CallerAccess.Grant grant = this.access.authenticate(context);
		String rest = context.request().uri().substring(PREFIX.length());
		int end = firstOf(rest, '/', '?');
		ServiceConfiguration service = grant.service(rest.substring(0, end));
		if (service.getKind() != ServiceConfiguration.Kind.PLAIN) {
			throw new InvalidRequestException(ErrorCode.NOT_FOUND, "no plain service has this name");
		}
		Profile profile = grant.profile(service.getProfile());
		String path = rest.substring(end).startsWith("/") ? rest.substring(end) : "/" + rest.substring(end);
		Buffer buffer = context.body().buffer();
		byte[] body = (buffer != null) ? buffer.getBytes() : new byte[0];
		HopTracer.Hop hop = this.parts.tracer().start("service", context.request().getHeader("traceparent"));
		ServiceCall call = new ServiceCall(context.request().method().name(), path, headers(context, hop), body,
				Duration.ofMillis(profile.getDeadlineMs()));
		Fingerprint fingerprint = Fingerprints.of(service.getName(),
				Buffer.buffer(call.method() + " " + path + "\n").appendBytes(body).getBytes());
		Call prepared = new Call(ServiceName.of(service.getName()), profile, call, fingerprint, hop);
		if (!profile.getIdempotent() && !KeyedCalls.keyOf(context).isEmpty()) {
			this.keyed.run(context, WorkspaceId.of(grant.workspace().getName()), body,
					(loop, completion) -> runKeyed(prepared, completion));
			return;
		}
		run(context, prepared);
	}

	private void run(RoutingContext context, Call prepared) {
		Context loop = Vertx.currentContext();
		send(prepared).subscribe().with((reply) -> loop.runOnContext((ignored) -> {
			prepared.hop().end();
			this.parts.metrics().countRequest(prepared.service().value(), "completed");
			give(context.response(), reply);
		}), (failure) -> loop.runOnContext((ignored) -> fail(context, prepared, failure)));
	}

	private void fail(RoutingContext context, Call prepared, Throwable failure) {
		prepared.hop().fail(failure);
		this.parts.metrics().countRequest(prepared.service().value(), "failed");
		context.fail(failure);
	}

	private void runKeyed(Call prepared, KeyedCalls.Completion completion) {
		send(prepared).subscribe().with((reply) -> {
			prepared.hop().end();
			completion.answer(reply.status(), contentType(reply), reply.body());
		}, (failure) -> {
			prepared.hop().fail(failure);
			completion.fail(ErrorBody.wrap(failure));
		});
	}

	private Uni<ServiceReply> send(Call prepared) {
		return this.parts.online()
			.getServiceCalls()
			.call(prepared.service(), prepared.profile(), prepared.call(), prepared.fingerprint());
	}

	private static void give(HttpServerResponse response, ServiceReply reply) {
		if (response.ended() || response.closed()) {
			return;
		}
		reply.headers().forEach((name, values) -> {
			if (!PRIVATE_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
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

	private static Map<String, List<String>> headers(RoutingContext context, HopTracer.Hop hop) {
		Map<String, List<String>> headers = new TreeMap<>();
		context.request().headers().forEach((name, value) -> {
			if (!PRIVATE_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				headers.computeIfAbsent(name.toLowerCase(Locale.ROOT), (n) -> new ArrayList<>()).add(value);
			}
		});
		headers.put("x-request-id", List.of(CallerAccess.requestId(context)));
		headers.put("traceparent", List.of(hop.getTraceParent()));
		return headers;
	}

	private static int firstOf(String text, char a, char b) {
		for (int i = 0; i < text.length(); i++) {
			if (text.charAt(i) == a || text.charAt(i) == b) {
				return i;
			}
		}
		return text.length();
	}

	private record Call(ServiceName service, Profile profile, ServiceCall call, Fingerprint fingerprint,
			HopTracer.Hop hop) {
	}

}
