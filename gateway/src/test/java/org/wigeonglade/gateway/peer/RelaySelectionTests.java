package org.wigeonglade.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;

/**
 * Guards against connections by way of hosts that do not reach the runners either, and
 * against one host that relays for all.
 */
public class RelaySelectionTests {

	private static final FailureDomain OWN = FailureDomain.of("a");

	private static final FailureDomain OTHER = FailureDomain.of("b");

	private PeerTable table;

	private Random random;

	@BeforeMethod
	public void createTable() {
		this.table = new PeerTable();
		this.random = new Random(1);
	}

	@Test
	public void hostsThatDoNotReachRunnersOrAreLeavingDoNotRelay() {
		add("cut", OWN, false, false);
		add("leaving", OWN, true, true);
		this.table.register(HostId.of("silent"), new InetSocketAddress("127.0.0.1", 1), OWN, 1, 0);
		Assert.assertEquals(select(), Optional.empty());
	}

	@Test
	public void hostsOfTheOwnDomainShareTheConnections() {
		add("a1", OWN, true, false);
		add("a2", OWN, true, false);
		add("b1", OTHER, true, false);
		Set<String> selected = new HashSet<>();
		for (int i = 0; i < 50; i++) {
			selected.add(select().orElseThrow());
		}
		Assert.assertEquals(selected, Set.of("a1", "a2"));
	}

	@Test
	public void hostOfAnotherDomainRelaysIfTheOwnOneIsCutOff() {
		add("a1", OWN, false, false);
		add("b1", OTHER, true, false);
		Assert.assertEquals(select(), Optional.of("b1"));
	}

	@Test
	public void hostThatHasFailedIsNotAskedAgain() {
		add("a1", OWN, true, false);
		add("b1", OTHER, true, false);
		Assert.assertEquals(select(HostId.of("a1")), Optional.of("b1"));
		Assert.assertEquals(select(HostId.of("a1"), HostId.of("b1")), Optional.empty());
	}

	// A host that was killed counts as alive for some time.
	@Test
	public void hostThatHasFailedIsNotAskedForOtherConnectionsUntilItsNextDatagram() {
		add("a1", OWN, true, false);
		this.table.recordRelayFailure(HostId.of("a1"));
		Assert.assertEquals(select(), Optional.empty());
		add("a1", OWN, true, false);
		Assert.assertEquals(select(), Optional.of("a1"));
	}

	private Optional<String> select(HostId... excluded) {
		return RelaySelection.select(this.table.getPeers(), OWN, Set.of(excluded), this.random)
			.map((peer) -> peer.getHost().value());
	}

	private void add(String name, FailureDomain domain, boolean relays, boolean leaving) {
		HostId host = HostId.of(name);
		this.table.register(host, new InetSocketAddress("127.0.0.1", 1), domain, 1, 0);
		this.table.recordDatagram(host, 1, leaving, true, 0);
		this.table.find(host).orElseThrow().setRelays(relays);
	}

}
