package org.wigeonglade.gateway.job;

import com.google.protobuf.ByteString;

/**
 * Final outcome of an item.
 *
 * @param item the item, not null
 * @param completed true if the item has its complete output, false if it was given up
 * (dead-lettered)
 * @param output the data of all events in order, separated by line feeds; empty if the
 * item was given up
 */
public record ItemOutcome(ItemId item, boolean completed, ByteString output) {

}
