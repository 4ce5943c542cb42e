package org.wigeonglade.entry.batch;

import com.google.protobuf.ByteString;

/**
 * One parsed line of a job.
 *
 * @param customId the identifier that the client gave the item
 * @param model the model or service that the body names
 * @param body the body exactly as it was sent
 */
record JobLine(String customId, String model, ByteString body) {
}
