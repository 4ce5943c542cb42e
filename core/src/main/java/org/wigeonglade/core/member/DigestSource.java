package org.wigeonglade.core.member;

import org.wigeonglade.schema.generated.peer.Digest;

/**
 * Source of entries in the digests of this host, such as the in-flight requests of
 * upstreams or the owned partitions.
 */
@FunctionalInterface
public interface DigestSource {

	/**
	 * Adds entries to a digest without blocking. Upstreams without load and services
	 * without demand should be left out, because each entry is sent to every host.
	 * @param digest the digest to add to
	 */
	void contribute(Digest.Builder digest);

}
