package org.wigeonglade.entry.caller;

import java.util.HexFormat;
import java.util.Optional;

import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.workspace.ApiKeyIndex;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Index of the workspaces of one configuration version by API key. Immutable.
 */
final class WorkspaceIndex {

	private final VersionedConfiguration configuration;

	private final ApiKeyIndex<WorkspaceConfiguration> workspaces;

	private WorkspaceIndex(VersionedConfiguration configuration, ApiKeyIndex<WorkspaceConfiguration> workspaces) {
		this.configuration = configuration;
		this.workspaces = workspaces;
	}

	static WorkspaceIndex of(VersionedConfiguration configuration) {
		ApiKeyIndex.Builder<WorkspaceConfiguration> index = ApiKeyIndex.builder();
		for (WorkspaceConfiguration workspace : configuration.body().getWorkspaces()) {
			for (String hash : workspace.getKeyHashes()) {
				index.addHash(HexFormat.of().parseHex(hash), workspace);
			}
		}
		return new WorkspaceIndex(configuration, index.build());
	}

	boolean isBuiltFrom(VersionedConfiguration other) {
		return this.configuration == other
				|| (this.configuration.version() == other.version() && this.configuration.body() == other.body());
	}

	Optional<WorkspaceConfiguration> find(String apiKey) {
		return this.workspaces.find(apiKey);
	}

}
