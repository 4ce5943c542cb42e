package org.wigeonglade.gateway.store;

import java.util.List;

/**
 * Consecutive records read from a keyed stream.
 *
 * @param records the records in stream order, not null; empty if the wait ended without
 * one
 * @param next the offset at which the next read continues
 * @param end the offset after the last record of the stream when it was read
 */
public record KeyedSlice(List<KeyedRecord> records, long next, long end) {

}
