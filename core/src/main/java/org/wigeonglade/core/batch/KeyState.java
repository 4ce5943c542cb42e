package org.wigeonglade.core.batch;

import com.google.protobuf.ByteString;
import com.google.protobuf.TextFormat;
import org.wigeonglade.schema.generated.log.KeyedIntent;
import org.wigeonglade.schema.generated.log.KeyedOutcome;

/**
 * What an idempotency key stands for: a job, or an online request that must run at most
 * once. Immutable.
 *
 * @param digest the digest of the first accepted request with the key
 * @param batchId the job, or null
 * @param intent the intent of the online request, or null
 * @param outcome the outcome of the online request without its body, or null
 * @param outcomeOffset the offset of the record with the whole outcome, or -1
 */
public record KeyState(ByteString digest, String batchId, KeyedIntent intent, KeyedOutcome outcome,
		long outcomeOffset) {

	static KeyState ofJob(ByteString digest, String batchId) {
		return new KeyState(digest, batchId, null, null, -1);
	}

	static KeyState ofIntent(KeyedIntent intent) {
		return new KeyState(intent.getRequestDigest(), null, intent, null, -1);
	}

	KeyState withOutcome(KeyedOutcome whole, long offset) {
		KeyedOutcome stripped = whole.toBuilder().clearBody().clearCarried().clearTerm().build();
		return new KeyState(this.digest, this.batchId, this.intent, stripped, offset);
	}

	String describe() {
		return TextFormat.escapeBytes(this.digest) + " " + this.batchId + " " + this.intent + " " + this.outcome + " "
				+ this.outcomeOffset;
	}

	boolean isRequest(String requestId) {
		return this.intent != null && this.intent.getRequestId().equals(requestId);
	}

}
