package org.wigeonglade.gateway.job;

import java.net.InetSocketAddress;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.peer.PeerTable;

/**
 * Guards against items that all hosts run during an outage of the store, and against
 * items without an owner.
 */
public class ItemOwnershipTests {

	private static final List<String> HOSTS = List.of("a", "b", "c");

	@Test
	public void itemsAreDividedAmongCaughtUpHosts() {
		Assert.assertEquals(countOwnedByAll(List.of(true, true, true)), 300);
	}

	@Test
	public void hostWithStaleStateOwnsNothingWhileOthersAreCaughtUp() {
		PeerTable peers = table("a", List.of(false, true, true));
		ItemOwnership ownership = new ItemOwnership(HostId.of("a"), peers);
		ownership.setSelfCaughtUp(false);
		for (int i = 0; i < 100; i++) {
			Assert.assertFalse(ownership.isOwner("item" + i));
		}
	}

	@Test
	public void everyItemHasOneOwnerWhileNoHostIsCaughtUp() {
		Assert.assertEquals(countOwnedByAll(List.of(false, false, false)), 300);
	}

	@Test
	public void itemsOfLostHostsMoveToLiveHost() {
		PeerTable peers = table("a", List.of(true, true, true));
		ItemOwnership ownership = new ItemOwnership(HostId.of("a"), peers);
		ownership.setSelfCaughtUp(true);
		Assert.assertTrue(countOwned(ownership) < 200);
		peers.expire(PeerTable.LIVENESS_TIMEOUT_MILLIS + 1);
		Assert.assertEquals(countOwned(ownership), 300);
	}

	private static int countOwnedByAll(List<Boolean> current) {
		int owners = 0;
		for (int i = 0; i < HOSTS.size(); i++) {
			ItemOwnership ownership = new ItemOwnership(HostId.of(HOSTS.get(i)), table(HOSTS.get(i), current));
			ownership.setSelfCaughtUp(current.get(i));
			owners += countOwned(ownership);
		}
		return owners;
	}

	private static int countOwned(ItemOwnership ownership) {
		int own = 0;
		for (int i = 0; i < 300; i++) {
			own += ownership.isOwner("item" + i) ? 1 : 0;
		}
		return own;
	}

	private static PeerTable table(String self, List<Boolean> current) {
		PeerTable peers = new PeerTable();
		for (int i = 0; i < HOSTS.size(); i++) {
			if (!HOSTS.get(i).equals(self)) {
				HostId host = HostId.of(HOSTS.get(i));
				peers.register(host, new InetSocketAddress("127.0.0.1", 1), FailureDomain.of("d"), 1, 0);
				peers.recordDatagram(host, 1, false, current.get(i), 0);
			}
		}
		return peers;
	}

}
