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
 * Authenticator of callers by API key. The result resolves and authorizes services under
 * the configuration that was in effect when the request arrived.
 */
final class CallerAuthenticator {

	static final String REQUEST_ID = "request_id";

	private static final String BEARER = "Bearer ";

	private final ConfigurationSource configuration;

	private volatile WorkspaceIndex cachedIndex;

	CallerAuthenticator(ConfigurationSource configuration) {
		this.configuration = configuration;
		this.cachedIndex = WorkspaceIndex.of(configuration.current());
	}

	static String newRequestId() {
		return "req-" + UUID.randomUUID();
	}

	static String requestId(RoutingContext context) {
		String id = context.get(REQUEST_ID);
		return (id != null) ? id : "none";
	}

	AuthenticatedCaller authenticate(RoutingContext context) {
		VersionedConfiguration current = this.configuration.current();
		String header = context.request().getHeader("Authorization");
		if (header == null || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
			throw new InvalidRequestException(ErrorCode.KEY_INVALID, "an Authorization header with a key is required");
		}
		WorkspaceConfiguration workspace = currentIndex(current).find(header.substring(BEARER.length()).trim())
			.orElseThrow(() -> new InvalidRequestException(ErrorCode.KEY_INVALID, "the API key is not valid"));
		return new AuthenticatedCaller(workspace, current);
	}

	private WorkspaceIndex currentIndex(VersionedConfiguration current) {
		WorkspaceIndex index = this.cachedIndex;
		if (!index.isBuiltFrom(current)) {
			index = WorkspaceIndex.of(current);
			this.cachedIndex = index;
		}
		return index;
	}

	/**
	 * Authenticated caller of a request.
	 *
	 * @param workspace the workspace of the caller
	 * @param configuration the configuration in effect when the request arrived
	 */
	record AuthenticatedCaller(WorkspaceConfiguration workspace, VersionedConfiguration configuration) {

		ServiceConfiguration findServiceForModel(String model) {
			return this.configuration.body()
				.getServices()
				.stream()
				.filter((s) -> s.getKind() == ServiceConfiguration.Kind.MODEL)
				.filter((s) -> s.getModels().stream().anyMatch((m) -> m.getName().equals(model)))
				.findFirst()
				.map(this::requireAllowed)
				.orElseThrow(() -> new InvalidRequestException(ErrorCode.NOT_FOUND, "no service has this model"));
		}

		ServiceConfiguration findService(String name) {
			return this.configuration.body()
				.getServices()
				.stream()
				.filter((s) -> s.getName().equals(name))
				.findFirst()
				.map(this::requireAllowed)
				.orElseThrow(() -> new InvalidRequestException(ErrorCode.NOT_FOUND, "no such service"));
		}

		Profile findProfile(String name) {
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
