package org.wigeonglade.gateway.job;

import java.util.HashMap;
import java.util.Map;

/**
 * The demands of which an item found no slot in one scheduling step. Items of the same
 * demand that are as large find none either, while smaller ones may fit into the memory
 * of a runner. Sizes of items come in no order, so that few items of each demand are
 * tried in vain.
 */
final class FullDemands {

	private final Map<ItemDemand, Long> smallest = new HashMap<>();

	/**
	 * Records an item that found no slot.
	 * @param demand the demand of the item, not null
	 * @param tokens its size in tokens
	 */
	void add(ItemDemand demand, long tokens) {
		this.smallest.merge(demand, tokens, Math::min);
	}

	/**
	 * Returns whether an item finds no slot.
	 * @param demand the demand of the item, not null
	 * @param tokens its size in tokens
	 * @return true if an item of the demand that is as small or smaller found none
	 */
	boolean contains(ItemDemand demand, long tokens) {
		Long limit = this.smallest.get(demand);
		return limit != null && tokens >= limit;
	}

}
