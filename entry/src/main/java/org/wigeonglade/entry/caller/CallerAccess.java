package org.wigeonglade.entry.caller;

import java.util.UUID;

import io.vertx.ext.web.RoutingContext;
import org.wigeonglade.core.config.ConfigurationSource;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Decides who calls, which service is meant and whether it may be used. A request keeps
 * the configuration that was in force when it arrived.
 */
final class CallerAccess {

	static final String REQUEST_ID = "request_id";

	private static final String BEARER = "Bearer ";

	private final ConfigurationSource configuration;

	private volatile Workspaces workspaces;

	CallerAccess(ConfigurationSource configuration) {
		this.configuration = configuration;
		this.workspaces = Workspaces.of(configuration.current());
	}

	static String newRequestId() {
		return "req-" + UUID.randomUUID();
	}

	static String requestId(RoutingContext context) {
		String id = context.get(REQUEST_ID);
		return (id != null) ? id : "none";
	}

	Grant authenticate(RoutingContext context) {
		VersionedConfiguration current = this.configuration.current();
		String header = context.request().getHeader("Authorization");
		if (header == null || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
			throw new InvalidRequestException(ErrorCode.KEY_INVALID, "an Authorization header with a key is required");
		}
		WorkspaceConfiguration workspace = index(current).find(header.substring(BEARER.length()).trim())
			.orElseThrow(() -> new InvalidRequestException(ErrorCode.KEY_INVALID, "the API key is not valid"));
		return new Grant(workspace, current);
	}

	private Workspaces index(VersionedConfiguration current) {
		Workspaces known = this.workspaces;
		if (!known.isFor(current)) {
			known = Workspaces.of(current);
			this.workspaces = known;
		}
		return known;
	}

	/**
	 * Holds who calls and the configuration that applies to the call.
	 *
	 * @param workspace the workspace of the caller
	 * @param configuration the configuration in force when the call arrived
	 */
	record Grant(WorkspaceConfiguration workspace, VersionedConfiguration configuration) {

		ServiceConfiguration serviceOfModel(String model) {
			return this.configuration.body()
				.getServices()
				.stream()
				.filter((s) -> s.getKind() == ServiceConfiguration.Kind.MODEL)
				.filter((s) -> s.getModels().stream().anyMatch((m) -> m.getName().equals(model)))
				.findFirst()
				.map(this::requireAllowed)
				.orElseThrow(() -> new InvalidRequestException(ErrorCode.NOT_FOUND, "no service has this model"));
		}

		ServiceConfiguration service(String name) {
			return this.configuration.body()
				.getServices()
				.stream()
				.filter((s) -> s.getName().equals(name))
				.findFirst()
				.map(this::requireAllowed)
				.orElseThrow(() -> new InvalidRequestException(ErrorCode.NOT_FOUND, "no such service"));
		}

		Profile profile(String name) {
			return this.configuration.body()
				.getProfiles()
				.stream()
				.filter((p) -> p.getName().equals(name))
				.findFirst()
				.orElseThrow(
						() -> new InvalidRequestException(ErrorCode.NOT_FOUND, "the service has no known profile"));
		}

		private ServiceConfiguration requireAllowed(ServiceConfiguration service) {
			if (this.workspace.getServices() != null && !this.workspace.getServices().isEmpty()
					&& !this.workspace.getServices().contains(service.getName())) {
				throw new InvalidRequestException(ErrorCode.FORBIDDEN,
						"workspace " + this.workspace.getName() + " may not use service " + service.getName());
			}
			return service;
		}

	}

}
