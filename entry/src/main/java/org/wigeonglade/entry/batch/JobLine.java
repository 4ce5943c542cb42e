package org.wigeonglade.entry.batch;

import com.google.protobuf.ByteString;

/**
 * Parsed input line of a job, which describes one item.
 *
 * @param customId the identifier of the item that the client chose
 * @param model the name of the model or service in the body
 * @param body the request body, byte for byte as it was sent
 */
record JobLine(String customId, String model, ByteString body) {
}
