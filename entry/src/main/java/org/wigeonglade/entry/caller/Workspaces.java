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
 * Finds the workspace of an API key in one configuration version. Immutable.
 * <p>
 * Candidates are looked up by the first bytes of the key's SHA-256, which an attacker
 * cannot steer without knowing the hash; the whole hash is then compared in constant
 * time.
 */
final class Workspaces {

	private static final int PREFIX_BYTES = 4;

	private final VersionedConfiguration configuration;

	private final Map<Integer, List<Entry>> byPrefix;

	private Workspaces(VersionedConfiguration configuration, Map<Integer, List<Entry>> byPrefix) {
		this.configuration = configuration;
		this.byPrefix = byPrefix;
	}

	static Workspaces of(VersionedConfiguration configuration) {
		Map<Integer, List<Entry>> index = new HashMap<>();
		for (WorkspaceConfiguration workspace : configuration.body().getWorkspaces()) {
			for (String hash : workspace.getKeyHashes()) {
				byte[] bytes = HexFormat.of().parseHex(hash);
				index.computeIfAbsent(prefix(bytes), (key) -> new ArrayList<>()).add(new Entry(bytes, workspace));
			}
		}
		return new Workspaces(configuration, index);
	}

	boolean isFor(VersionedConfiguration other) {
		return this.configuration == other
				|| (this.configuration.version() == other.version() && this.configuration.body() == other.body());
	}

	Optional<WorkspaceConfiguration> find(String apiKey) {
		byte[] presented = Hashing.sha256().hashString(apiKey, StandardCharsets.UTF_8).asBytes();
		for (Entry entry : this.byPrefix.getOrDefault(prefix(presented), List.of())) {
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

	private record Entry(byte[] hash, WorkspaceConfiguration workspace) {
	}

}
