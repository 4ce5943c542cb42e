package org.wigeonglade.core.member;

import org.wigeonglade.schema.generated.peer.Digest;

/**
 * Adds what a part of the host tells in each digest, such as in-flight figures of
 * upstreams or owned partitions.
 */
@FunctionalInterface
public interface DigestSource {

	/**
	 * Adds entries to a digest without blocking. Upstreams without load and services
	 * without demand are best left out, since each entry is sent to every host.
	 * @param digest the digest to add to
	 */
	void contribute(Digest.Builder digest);

}
