package org.wigeonglade.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.standins.CallFault;
import org.wigeonglade.standins.StandInResponse;

/**
 * HTTP routes of an engine stand-in.
 */
final class EngineRoutes {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int DEFAULT_MAX_TOKENS = 16;

	private final EngineStandIn engine;

	EngineRoutes(EngineStandIn engine) {
		this.engine = engine;
	}

	void register(Router router) {
		router.route().handler(this::injectFault);
		router.post("/v1/completions").handler(this::complete);
		router.get("/load").handler(this::load);
		router.get("/cache/events").handler(this::cacheEvents);
		router.get("/cache/blocks/:hash").handler(this::exportBlock);
		router.put("/cache/blocks/:hash").handler(this::importBlock);
		router.post("/commands").handler(this::command);
		router.get("/state").handler((context) -> StandInResponse.json(context, describe()));
	}

	private void injectFault(RoutingContext context) {
		if (this.engine.scheduler().isFrozen() && !context.request().path().equals("/v1/completions")) {
			// A frozen engine accepts requests and never responds.
			return;
		}
		Optional<CallFault> fault = this.engine.faults().next(context.request().path());
		if (fault.isPresent()) {
			StandInResponse.respond(context, fault, JsonObject::new);
		}
		else {
			context.next();
		}
	}

	private void complete(RoutingContext context) {
		JsonObject body = context.body().asJsonObject();
		String prompt = (body != null) ? body.getString("prompt") : null;
		if (prompt == null) {
			StandInResponse.error(context, 400, "invalid_request");
			return;
		}
		if (!this.engine.state().canServe(body.getString("model", ""))) {
			StandInResponse.error(context, 503, "model_not_loaded");
			return;
		}
		int maxTokens = body.getInteger("max_tokens", DEFAULT_MAX_TOKENS);
		JsonArray resume = body.getJsonArray("resume_tokens", new JsonArray());
		if (!isPrefix(resume, CompletionText.tokens(prompt, maxTokens))) {
			StandInResponse.error(context, 422, "resume_mismatch");
			return;
		}
		EngineStream stream = new EngineStream(requestId(context, body), body.getString("model", ""),
				this.engine.state().version(), prompt, maxTokens, resume.size(), context.response());
		EngineScheduler scheduler = this.engine.scheduler();
		context.response().closeHandler((ignored) -> scheduler.cancel(stream));
		context.response().exceptionHandler((ignored) -> scheduler.cancel(stream));
		if (!scheduler.submit(stream)) {
			StandInResponse.error(context, 429, "queue_full");
		}
	}

	private static String requestId(RoutingContext context, JsonObject body) {
		String header = context.request().getHeader("x-request-id");
		return (header != null) ? header : body.getString("user", "");
	}

	private static boolean isPrefix(JsonArray resume, List<String> tokens) {
		if (resume.size() > tokens.size()) {
			return false;
		}
		for (int i = 0; i < resume.size(); i++) {
			if (!tokens.get(i).equals(resume.getString(i))) {
				return false;
			}
		}
		return true;
	}

	private void load(RoutingContext context) {
		EngineScheduler.Sample sample = this.engine.scheduler().latestVisibleLoad();
		StandInResponse.json(context,
				new JsonObject().put("slots", this.engine.settings().slots)
					.put("running", sample.running())
					.put("queued", sample.queued())
					.put("age_ms", (System.nanoTime() - sample.nanos()) / NANOS_PER_MILLI));
	}

	private void cacheEvents(RoutingContext context) {
		List<String> values = context.queryParam("after");
		long after = values.isEmpty() ? 0 : Long.parseLong(values.get(0));
		EngineSettings settings = this.engine.settings();
		long visible = System.nanoTime() - settings.cacheEventDelayMillis * NANOS_PER_MILLI;
		List<JsonObject> events = new ArrayList<>();
		for (PrefixCache.Event event : this.engine.scheduler()
			.withCache((cache) -> cache.eventsAfter(after, visible))) {
			if (settings.cacheEventGapEvery > 0 && event.sequence() % settings.cacheEventGapEvery == 0) {
				continue;
			}
			events.add(new JsonObject().put("sequence", event.sequence())
				.put("prefix_hash", event.hash())
				.put("stored", event.stored()));
		}
		StandInResponse.json(context, new JsonObject().put("events", new JsonArray(events)));
	}

	private void exportBlock(RoutingContext context) {
		String hash = context.pathParam("hash");
		if (this.engine.scheduler().withCache((cache) -> cache.contains(hash))) {
			context.response().putHeader("content-type", "application/octet-stream").end(Buffer.buffer("kv:" + hash));
		}
		else {
			StandInResponse.error(context, 404, "not_cached");
		}
	}

	private void importBlock(RoutingContext context) {
		String hash = context.pathParam("hash");
		Buffer body = context.body().buffer();
		if (body == null || !body.toString().equals("kv:" + hash)) {
			StandInResponse.error(context, 422, "cache_mismatch");
			return;
		}
		this.engine.scheduler().withCache((cache) -> {
			cache.storeBlock(hash, System.nanoTime());
			return null;
		});
		StandInResponse.json(context, new JsonObject());
	}

	private void command(RoutingContext context) {
		JsonObject command = context.body().asJsonObject();
		if (command == null) {
			StandInResponse.error(context, 400, "invalid_command");
		}
		else if (this.engine.state().accept(command)) {
			this.engine.state().apply(command);
			StandInResponse.json(context, new JsonObject().put("accepted", true));
		}
		else {
			StandInResponse.error(context, 409, "stale_term");
		}
	}

	private JsonObject describe() {
		return this.engine.state().describe().put("incarnation", this.engine.incarnation());
	}

}
