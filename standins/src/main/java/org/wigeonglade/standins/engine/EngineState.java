package org.wigeonglade.standins.engine;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Models loaded by an engine and the highest fencing token of its commands. Thread-safe.
 */
public final class EngineState {

	private final Vertx vertx;

	private final EngineSettings settings;

	private final List<JsonObject> commands = new ArrayList<>();

	private List<String> models;

	private String version = "";

	private List<String> adapters = List.of();

	private String role = "serve";

	private long term;

	private boolean loading;

	EngineState(Vertx vertx, EngineSettings settings) {
		this.vertx = vertx;
		this.settings = settings;
		this.models = settings.models;
	}

	/**
	 * Returns the loaded models.
	 * @return the names, never null
	 */
	public synchronized List<String> models() {
		return this.models;
	}

	/**
	 * Returns the version of the model loaded last.
	 * @return the version, empty before the first command
	 */
	public synchronized String version() {
		return this.version;
	}

	/**
	 * Returns the number of accepted commands.
	 * @return the number, kept across restarts
	 */
	public synchronized int commandCount() {
		return this.commands.size();
	}

	/**
	 * Returns the fencing tokens of the accepted commands.
	 * @return the tokens in order of arrival
	 */
	public synchronized List<Long> commandTerms() {
		return this.commands.stream().map((command) -> command.getLong("term")).toList();
	}

	synchronized boolean canServe(String model) {
		return !this.loading && (this.models.isEmpty() || this.models.contains(model));
	}

	synchronized boolean accept(JsonObject command) {
		long commandTerm = command.getLong("term", 0L);
		if (this.settings.checksTerm && commandTerm < this.term) {
			return false;
		}
		this.term = Math.max(this.term, commandTerm);
		this.commands.add(command);
		return true;
	}

	synchronized JsonObject describe() {
		return new JsonObject().put("models", new JsonArray(this.models))
			.put("version", this.version)
			.put("adapters", new JsonArray(this.adapters))
			.put("role", this.role)
			.put("term", this.term)
			.put("loading", this.loading);
	}

	synchronized void reset() {
		this.term = 0;
		this.loading = false;
	}

	Future<Void> apply(JsonObject command) {
		String model = command.getString("model", "");
		String requestedVersion = command.getString("model_version", "");
		if (isLoaded(model, requestedVersion)) {
			return Future.succeededFuture();
		}
		setLoading(true);
		return load(model, requestedVersion).onComplete((loaded) -> {
			if (loaded.succeeded()) {
				store(command);
			}
			setLoading(false);
		});
	}

	private synchronized boolean isLoaded(String model, String requestedVersion) {
		return this.version.equals(requestedVersion) && this.models.contains(model);
	}

	private synchronized void setLoading(boolean value) {
		this.loading = value;
	}

	private synchronized void store(JsonObject command) {
		this.models = List.of(command.getString("model", ""));
		this.version = command.getString("model_version", "");
		this.role = command.getString("role", "serve");
		this.adapters = command.getJsonArray("adapters", new JsonArray()).stream().map(String::valueOf).toList();
	}

	private Future<Void> load(String model, String requestedVersion) {
		if (this.settings.weightStoreUrl.isEmpty()) {
			Promise<Void> loaded = Promise.promise();
			this.vertx.setTimer(Math.max(1, this.settings.loadMillis), (id) -> loaded.complete());
			return loaded.future();
		}
		URI store = URI.create(this.settings.weightStoreUrl);
		HttpClient client = this.vertx.createHttpClient();
		return client
			.request(HttpMethod.GET, store.getPort(), store.getHost(), "/weights/" + model + "/" + requestedVersion)
			.compose((request) -> request.send())
			.compose((response) -> response.body())
			.<Void>mapEmpty()
			.onComplete((ignored) -> client.close());
	}

}
