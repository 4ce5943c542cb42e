package org.wigeonglade.gateway.store;

import java.util.List;

/**
 * A page of the newest records of a keyed stream.
 *
 * @param records the records in the order of their keys, not null
 * @param truncated whether more keys follow
 * @param end the end of the stream when the page was made
 */
public record KeyedPage(List<KeyedRecord> records, boolean truncated, long end) {

}
