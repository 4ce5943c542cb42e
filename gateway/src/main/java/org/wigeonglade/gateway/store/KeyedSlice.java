package org.wigeonglade.gateway.store;

import java.util.List;

/**
 * Records of a keyed stream in order.
 *
 * @param records the records, not null; empty if the wait ended without any
 * @param next the offset after the last record
 * @param end the end of the stream when it was read
 */
public record KeyedSlice(List<KeyedRecord> records, long next, long end) {

}
