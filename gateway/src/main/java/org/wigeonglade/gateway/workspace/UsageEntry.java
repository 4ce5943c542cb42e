package org.wigeonglade.gateway.workspace;

import java.nio.charset.StandardCharsets;
import java.util.OptionalDouble;

import com.google.common.hash.Hashing;
import org.wigeonglade.core.id.WorkspaceId;

/**
 * What a host reports to another one of the usage of a workspace. Immutable.
 *
 * @param workspace the hash of the name of the workspace
 * @param admitted the requests that the sender has admitted since its start, minus those
 * given back; an unsigned number that wraps around
 * @param portion the level of the sender's token bucket divided by the number of hosts
 * that contribute to it, in requests; empty in a report of changes, not null
 */
public record UsageEntry(long workspace, int admitted, OptionalDouble portion) {

	/**
	 * Returns the hash by which hosts name a workspace to each other.
	 * @param workspace the workspace, not null
	 * @return the hash
	 */
	static long hash(WorkspaceId workspace) {
		return Hashing.murmur3_128().hashString(workspace.value(), StandardCharsets.UTF_8).asLong();
	}

}
