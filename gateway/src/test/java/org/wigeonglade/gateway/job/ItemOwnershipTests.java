package org.wigeonglade.gateway.job;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.schema.generated.gateway.JobItem;
import org.wigeonglade.schema.generated.gateway.JobPart;

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

	// A change that is applied to the known owners gives the same ones as a new
	// computation.
	@Test
	public void ownersFollowEachChangeOfMembers() {
		Job job = new Job(JobId.of("job"));
		JobPart.Builder part = JobPart.newBuilder().setJobId("job").setParts(1).setTotalItems(200);
		IntStream.range(0, 200).forEach((i) -> part.addItems(JobItem.newBuilder().setId("item" + i)));
		job.addPart("p/job/0", part.build());
		PeerTable peers = table("a", List.of(true, true, true));
		ItemOwnership followed = new ItemOwnership(HostId.of("a"), peers);
		followed.setSelfCaughtUp(true);
		Random random = new Random(1);
		for (int i = 0; i < 100; i++) {
			HostId host = HostId.of(HOSTS.get(1 + random.nextInt(2)));
			peers.recordDatagram(host, 1, false, random.nextBoolean(), 0);
			boolean caughtUp = random.nextInt(5) > 0;
			followed.setSelfCaughtUp(caughtUp);
			if (random.nextInt(3) > 0) {
				ItemOwnership computed = new ItemOwnership(HostId.of("a"), peers);
				computed.setSelfCaughtUp(caughtUp);
				Assert.assertEquals(followed.getOwnedItems(job), computed.getOwnedItems(job), "after change " + i);
			}
		}
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
