package org.wigeonglade.core.platform;

/**
 * Record of a stream. The payload is not copied and must not be modified.
 *
 * @param offset the offset in the stream
 * @param payload the encoded record
 */
public record StoredRecord(long offset, byte[] payload) {
}
