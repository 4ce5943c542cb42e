package org.wigeonglade.gateway.workspace;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.workspace.ApiKeyIndex;

/**
 * The workspaces of one configuration and their API keys. Immutable.
 */
public final class WorkspaceTable {

	/** The table of a configuration without workspaces, whose requests carry no key. */
	public static final WorkspaceTable NONE = new WorkspaceTable(false, Map.of(),
			ApiKeyIndex.<Workspace>builder().build());

	private final boolean required;

	private final Map<WorkspaceId, Workspace> workspaces;

	private final ApiKeyIndex<Workspace> keys;

	private WorkspaceTable(boolean required, Map<WorkspaceId, Workspace> workspaces, ApiKeyIndex<Workspace> keys) {
		this.required = required;
		this.workspaces = workspaces;
		this.keys = keys;
	}

	/**
	 * Returns a builder of a table whose requests carry a key, also if it has no
	 * workspaces.
	 * @return a builder, never null
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns whether requests must carry the key of a workspace.
	 * @return false for {@link #NONE}
	 */
	public boolean isKeyRequired() {
		return this.required;
	}

	/**
	 * Returns the workspace of a key.
	 * @param apiKey the key, not null
	 * @return the workspace, empty if the key is unknown
	 */
	public Optional<Workspace> findByKey(String apiKey) {
		return this.keys.find(apiKey);
	}

	/**
	 * Returns a workspace.
	 * @param id its name, not null
	 * @return the workspace, empty if it is unknown
	 */
	public Optional<Workspace> find(WorkspaceId id) {
		return Optional.ofNullable(this.workspaces.get(id));
	}

	/**
	 * Returns all workspaces.
	 * @return the workspaces in no order, never null
	 */
	public Collection<Workspace> getWorkspaces() {
		return this.workspaces.values();
	}

	/**
	 * Builds a {@link WorkspaceTable}.
	 */
	public static final class Builder {

		private final Map<WorkspaceId, Workspace> workspaces = new HashMap<>();

		private final ApiKeyIndex.Builder<Workspace> keys = ApiKeyIndex.builder();

		private Builder() {
		}

		/**
		 * Adds a workspace with its keys.
		 * @param workspace the workspace, not null
		 * @param apiKeys its keys, not null
		 * @return this builder
		 * @throws InvalidRequestException if the name is taken, or a key is empty or
		 * belongs to another workspace
		 */
		public Builder add(Workspace workspace, List<String> apiKeys) {
			if (this.workspaces.putIfAbsent(workspace.id(), workspace) != null) {
				throw invalid("the workspace '" + workspace.id() + "' occurs twice");
			}
			for (String key : apiKeys) {
				if (key.isEmpty()) {
					throw invalid("the workspace '" + workspace.id() + "' has an empty key");
				}
				this.keys.addKey(key, workspace).filter((owner) -> owner != workspace).ifPresent((owner) -> {
					throw invalid("the workspaces '" + owner.id() + "' and '" + workspace.id() + "' share a key");
				});
			}
			return this;
		}

		/**
		 * Builds the table.
		 * @return the table, never null
		 */
		public WorkspaceTable build() {
			return new WorkspaceTable(true, Map.copyOf(this.workspaces), this.keys.build());
		}

		private static InvalidRequestException invalid(String message) {
			return new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, message);
		}

	}

}
