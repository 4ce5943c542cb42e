package org.wigeonglade.core.batch;

import com.google.protobuf.ByteString;
import com.google.protobuf.TextFormat;
import org.wigeonglade.schema.generated.log.KeyedIntent;
import org.wigeonglade.schema.generated.log.KeyedOutcome;

/**
 * State of an idempotency key, which identifies a job or an online request that must run
 * at most once. Immutable.
 *
 * @param digest the digest of the first accepted request with the key
 * @param batchId the identifier of the job, null for an online request
 * @param intent the recorded intent of the online request, null for a job
 * @param outcome the outcome of the online request without its body, null before it
 * @param outcomeOffset the offset of the record with the outcome and its body, -1 before
 */
public record KeyState(ByteString digest, String batchId, KeyedIntent intent, KeyedOutcome outcome,
		long outcomeOffset) {

	static KeyState ofJob(ByteString digest, String batchId) {
		return new KeyState(digest, batchId, null, null, -1);
	}

	static KeyState ofIntent(KeyedIntent intent) {
		return new KeyState(intent.getRequestDigest(), null, intent, null, -1);
	}

	KeyState withOutcome(KeyedOutcome complete, long offset) {
		KeyedOutcome withoutBody = complete.toBuilder().clearBody().clearCarried().clearTerm().build();
		return new KeyState(this.digest, this.batchId, this.intent, withoutBody, offset);
	}

	String describe() {
		return TextFormat.escapeBytes(this.digest) + " " + this.batchId + " " + this.intent + " " + this.outcome + " "
				+ this.outcomeOffset;
	}

	boolean matchesRequest(String requestId) {
		return this.intent != null && this.intent.getRequestId().equals(requestId);
	}

}
