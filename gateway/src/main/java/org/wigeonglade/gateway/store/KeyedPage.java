package org.wigeonglade.gateway.store;

import java.util.List;

/**
 * Page of a listing of the latest records of a keyed stream.
 *
 * @param records the records in key order, not null
 * @param truncated whether more keys follow
 * @param end the offset after the last record of the stream when the page was read
 */
public record KeyedPage(List<KeyedRecord> records, boolean truncated, long end) {

}
