package org.wigeonglade.gateway.peer;

import java.net.InetSocketAddress;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.gateway.fleet.DomainReachability;

/**
 * Guards against items assigned to a host that is unresponsive, shutting down, or
 * disconnected from the store.
 */
public class PeerTableTests {

	private static final HostId HOST = HostId.of("h");

	private PeerTable table;

	@BeforeMethod
	public void registerHost() {
		this.table = new PeerTable();
		register(10);
	}

	// Two heartbeats in a row may be lost.
	@Test
	public void hostWhoseChangesArePassedOnIsNotLost() {
		HostId host = HostId.of("relayed");
		PeerTable relayed = new PeerTable();
		relayed.register(host, new InetSocketAddress("127.0.0.1", 1), FailureDomain.of("a"), 1, 0);
		relayed.recordDatagram(host, 1, false, true, 0);
		relayed.recordRelayed(relayed.find(host).orElseThrow(), 1_000);
		Assert.assertTrue(relayed.expire(1_000 + PeerTable.LIVENESS_TIMEOUT_MILLIS).isEmpty());
		Assert.assertEquals(relayed.expire(1_001 + PeerTable.LIVENESS_TIMEOUT_MILLIS).size(), 1);
	}

	@Test
	public void registeredHostIsNotAliveBeforeItsFirstDatagram() {
		Assert.assertFalse(peer().isAlive());
		this.table.recordDatagram(HOST, 10, false, true, 0);
		Assert.assertTrue(peer().isEligible());
	}

	@Test
	public void leavingHostOrOneWithOutdatedJobStateIsNotEligible() {
		this.table.recordDatagram(HOST, 10, true, true, 0);
		Assert.assertFalse(peer().isEligible());
		this.table.recordDatagram(HOST, 10, false, false, 0);
		Assert.assertFalse(peer().isEligible());
		Assert.assertTrue(peer().isAlive());
	}

	@Test
	public void unresponsiveHostIsReportedLostOnceAndChangesTheVersion() {
		this.table.recordDatagram(HOST, 10, false, true, 0);
		long version = this.table.getVersion();
		Assert.assertTrue(this.table.expire(PeerTable.LIVENESS_TIMEOUT_MILLIS).isEmpty());
		Assert.assertEquals(this.table.expire(PeerTable.LIVENESS_TIMEOUT_MILLIS + 1).size(), 1);
		Assert.assertTrue(this.table.expire(PeerTable.LIVENESS_TIMEOUT_MILLIS + 2).isEmpty());
		Assert.assertNotEquals(this.table.getVersion(), version);
	}

	@Test
	public void datagramOfAnEarlierIncarnationIsIgnored() {
		register(20);
		this.table.recordDatagram(HOST, 10, false, true, 0);
		Assert.assertFalse(peer().isAlive());
	}

	@Test
	public void domainIsSuspectedOnlyIfAllItsHostsAreUnresponsiveAndAnotherDomainIsNot() {
		FailureDomain partitioned = FailureDomain.of("cut");
		for (String name : new String[] { "c1", "c2" }) {
			this.table.register(HostId.of(name), new InetSocketAddress("127.0.0.1", 1), partitioned, 1, 0);
			this.table.recordDatagram(HostId.of(name), 1, false, true, 1_000);
		}
		this.table.recordDatagram(HOST, 10, false, true, 1_900);
		Assert.assertFalse(this.table.isDomainSuspected(partitioned, 1_000 + PeerTable.DOMAIN_SILENCE_TIMEOUT_MILLIS));
		Assert.assertTrue(this.table.isDomainSuspected(partitioned, 1_001 + PeerTable.DOMAIN_SILENCE_TIMEOUT_MILLIS));
		this.table.recordDatagram(HostId.of("c2"), 1, false, true, 1_700);
		Assert.assertFalse(this.table.isDomainSuspected(partitioned, 1_750));
		Assert.assertFalse(this.table.isDomainSuspected(partitioned, 9_000),
				"a host that receives no datagrams is partitioned itself");
	}

	// Guards against runners that are avoided because the hosts of their domain are gone.
	@Test(dataProvider = "connections")
	public void domainWithoutHostsIsSuspectedUntilOneOfItsRunnersIsReached(long connectedMillis, boolean failed,
			boolean suspected) {
		FailureDomain emptied = FailureDomain.of("emptied");
		DomainReachability reachability = new DomainReachability();
		this.table.setReachability(reachability);
		for (String name : new String[] { "c1", "c2" }) {
			this.table.register(HostId.of(name), new InetSocketAddress("127.0.0.1", 1), emptied, 1, 0);
			this.table.recordDatagram(HostId.of(name), 1, true, true, 1_000);
		}
		this.table.recordDatagram(HOST, 10, false, true, 1_900);
		reachability.recordConnected(emptied, connectedMillis);
		if (failed) {
			reachability.recordFailure(emptied);
		}
		Assert.assertTrue(this.table.isDomainSilent(emptied, 2_000));
		Assert.assertEquals(this.table.isDomainSuspected(emptied, 2_000), suspected);
	}

	@DataProvider
	public Object[][] connections() {
		long silentSince = 1_000 + PeerTable.DOMAIN_SILENCE_TIMEOUT_MILLIS;
		return new Object[][] { { silentSince, false, false }, { silentSince - 1, false, true },
				{ silentSince, true, true } };
	}

	private void register(long incarnation) {
		this.table.register(HOST, new InetSocketAddress("127.0.0.1", 1), FailureDomain.of("a"), incarnation, 0);
	}

	private PeerTable.Peer peer() {
		return this.table.find(HOST).orElseThrow();
	}

}
