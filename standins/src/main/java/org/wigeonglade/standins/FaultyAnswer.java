package org.wigeonglade.standins;

import java.util.Optional;
import java.util.function.Supplier;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/**
 * Answers a call of a stand-in, with the scheduled fault if there is one.
 */
public final class FaultyAnswer {

	private static final int UNAVAILABLE = 503;

	private FaultyAnswer() {
	}

	/**
	 * Applies a call and answers it.
	 * @param context the call, not null
	 * @param fault the fault, empty to succeed
	 * @param effect applies the call and gives its answer, not null
	 */
	public static void give(RoutingContext context, Optional<CallFault> fault, Supplier<JsonObject> effect) {
		if (fault.isEmpty()) {
			json(context, effect.get());
			return;
		}
		switch (fault.get()) {
			case REFUSED_BEFORE -> error(context, UNAVAILABLE, "not_applied");
			case ANSWER_LOST -> {
				effect.get();
				context.request().connection().close();
			}
			case CONNECTION_LOST -> context.request().connection().close();
			case HANGS -> {
				// The connection stays open without an answer until the client gives up.
			}
			case MALFORMED_ANSWER -> {
				effect.get();
				context.response().end("{\"unfinished\":");
			}
		}
	}

	/**
	 * Answers with a JSON body.
	 * @param context the call, not null
	 * @param body the body, not null
	 */
	public static void json(RoutingContext context, JsonObject body) {
		if (!context.response().ended() && !context.response().closed()) {
			context.response().putHeader("content-type", "application/json").end(body.toBuffer());
		}
	}

	/**
	 * Answers with an error.
	 * @param context the call, not null
	 * @param status the HTTP status
	 * @param code the code in the body, not null
	 */
	public static void error(RoutingContext context, int status, String code) {
		if (!context.response().ended() && !context.response().closed()) {
			JsonObject body = new JsonObject().put("error", new JsonObject().put("code", code));
			context.response().setStatusCode(status).putHeader("content-type", "application/json").end(body.toBuffer());
		}
	}

}
