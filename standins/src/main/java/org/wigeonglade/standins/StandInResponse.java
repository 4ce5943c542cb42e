package org.wigeonglade.standins;

import java.util.Optional;
import java.util.function.Supplier;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/**
 * Sends the response to a call of a stand-in, or injects the scheduled fault.
 */
public final class StandInResponse {

	private static final int SERVICE_UNAVAILABLE = 503;

	private StandInResponse() {
	}

	/**
	 * Executes a call and responds to it, or injects a fault.
	 * @param context the call, not null
	 * @param fault the fault to inject, empty for none
	 * @param operation executes the call and returns the response body; not run by faults
	 * that prevent the call, not null
	 */
	public static void respond(RoutingContext context, Optional<CallFault> fault, Supplier<JsonObject> operation) {
		if (fault.isEmpty()) {
			json(context, operation.get());
			return;
		}
		switch (fault.get()) {
			case REFUSED_BEFORE -> error(context, SERVICE_UNAVAILABLE, "not_applied");
			case ANSWER_LOST -> {
				operation.get();
				context.request().connection().close();
			}
			case CONNECTION_LOST -> context.request().connection().close();
			case HANGS -> {
				// No response: the connection stays open until the client times out.
			}
			case MALFORMED_ANSWER -> {
				operation.get();
				context.response().end("{\"unfinished\":");
			}
		}
	}

	/**
	 * Responds with a JSON body, unless the response has ended or its connection is
	 * closed.
	 * @param context the call, not null
	 * @param body the body, not null
	 */
	public static void json(RoutingContext context, JsonObject body) {
		if (!context.response().ended() && !context.response().closed()) {
			context.response().putHeader("content-type", "application/json").end(body.toBuffer());
		}
	}

	/**
	 * Responds with a JSON error, unless the response has ended or its connection is
	 * closed.
	 * @param context the call, not null
	 * @param status the HTTP status
	 * @param code the error code in the body, not null
	 */
	public static void error(RoutingContext context, int status, String code) {
		if (!context.response().ended() && !context.response().closed()) {
			JsonObject body = new JsonObject().put("error", new JsonObject().put("code", code));
			context.response().setStatusCode(status).putHeader("content-type", "application/json").end(body.toBuffer());
		}
	}

}
