package org.wigeonglade.gateway.job;

/**
 * How an item ended.
 *
 * @param item the item, not null
 * @param completed true if it has its whole output, false if it was given up
 * @param output the data of all events in order, separated by line feeds; empty if it was
 * given up
 */
public record ItemOutcome(ItemId item, boolean completed, byte[] output) {

}
