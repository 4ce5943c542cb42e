package org.wigeonglade.gateway.job;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against a large item that waits for memory and blocks smaller ones, and against
 * a search of all runners for each of many items when no slot is free.
 */
public class FullDemandsTests {

	@Test
	public void largeItemBlocksOnlyItemsThatAreAsLarge() {
		FullDemands full = new FullDemands();
		ItemDemand demand = ItemDemand.ofNewItem(ServiceName.of("chat"));
		full.add(demand, 13_000);
		Assert.assertTrue(full.contains(demand, 13_000));
		Assert.assertFalse(full.contains(demand, 12_999));
		Assert.assertFalse(full.contains(ItemDemand.ofNewItem(ServiceName.of("other")), 20_000));
		full.add(demand, 0);
		Assert.assertTrue(full.contains(demand, 0));
	}

}
