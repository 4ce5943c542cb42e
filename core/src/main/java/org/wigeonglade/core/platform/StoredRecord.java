package org.wigeonglade.core.platform;

/**
 * Holds one record of a stream. The payload is not copied and must not be changed.
 *
 * @param offset the offset in the stream
 * @param payload the encoded record
 */
public record StoredRecord(long offset, byte[] payload) {
}
