package org.wigeonglade.entry.completion;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;
import org.wigeonglade.core.id.Fingerprint;

/**
 * Computes fingerprints that identify requests with the same content.
 */
public final class Fingerprints {

	private Fingerprints() {
	}

	/**
	 * Returns the fingerprint of a request.
	 * @param service the name of the service, not null
	 * @param body the body exactly as it was sent, not null
	 * @return the SHA-256 digest of service and body
	 */
	public static Fingerprint of(String service, byte[] body) {
		return Fingerprint.of(Hashing.sha256()
			.newHasher()
			.putString(service, StandardCharsets.UTF_8)
			.putByte((byte) 0)
			.putBytes(body)
			.hash()
			.toString());
	}

	/**
	 * Returns the fingerprint of a message of a chat.
	 * @param role the role of its author, not null
	 * @param content its content, not null
	 * @return the SHA-256 digest of role and content, as a part of prompts
	 */
	public static Fingerprint ofMessage(String role, String content) {
		return Fingerprint.ofPromptPart(Hashing.sha256()
			.newHasher()
			.putString(role, StandardCharsets.UTF_8)
			.putByte((byte) 0)
			.putString(content, StandardCharsets.UTF_8)
			.hash()
			.toString());
	}

}
