package org.wigeonglade.entry.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.hash.Hashing;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Index of the workspaces of one configuration version by API key. Immutable.
 * <p>
 * Candidates are looked up by the first bytes of the SHA-256 of the key, which an
 * attacker cannot choose without knowledge of the hash; the complete hash is then
 * compared in constant time.
 */
final class WorkspaceIndex {

	private static final int PREFIX_BYTES = 4;

	private final VersionedConfiguration configuration;

	private final Map<Integer, List<KeyEntry>> entriesByPrefix;

	private WorkspaceIndex(VersionedConfiguration configuration, Map<Integer, List<KeyEntry>> byPrefix) {
		this.configuration = configuration;
		this.entriesByPrefix = byPrefix;
	}

	static WorkspaceIndex of(VersionedConfiguration configuration) {
		Map<Integer, List<KeyEntry>> index = new HashMap<>();
		for (WorkspaceConfiguration workspace : configuration.body().getWorkspaces()) {
			for (String hash : workspace.getKeyHashes()) {
				byte[] bytes = HexFormat.of().parseHex(hash);
				index.computeIfAbsent(prefix(bytes), (key) -> new ArrayList<>()).add(new KeyEntry(bytes, workspace));
			}
		}
		return new WorkspaceIndex(configuration, index);
	}

	boolean isBuiltFrom(VersionedConfiguration other) {
		return this.configuration == other
				|| (this.configuration.version() == other.version() && this.configuration.body() == other.body());
	}

	Optional<WorkspaceConfiguration> find(String apiKey) {
		byte[] presented = Hashing.sha256().hashString(apiKey, StandardCharsets.UTF_8).asBytes();
		for (KeyEntry entry : this.entriesByPrefix.getOrDefault(prefix(presented), List.of())) {
			if (MessageDigest.isEqual(entry.hash(), presented)) {
				return Optional.of(entry.workspace());
			}
		}
		return Optional.empty();
	}

	private static int prefix(byte[] hash) {
		int value = 0;
		for (int i = 0; i < PREFIX_BYTES; i++) {
			value = (value << 8) | (hash[i] & 0xff);
		}
		return value;
	}

	private record KeyEntry(byte[] hash, WorkspaceConfiguration workspace) {
	}

}
