package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.gateway.Datagram;
import org.wigeonglade.schema.generated.gateway.OutputClaim;

/**
 * Guards against output that is thrown away because another host begins the item anew,
 * and against items that wait for a host that does not continue them.
 */
public class OutputClaimsTests {

	private static final long ITEM = new ItemKey(JobId.of("job"), ItemId.of("item")).stableHash();

	private static final HostId SELF = HostId.of("b");

	@DataProvider
	public Object[][] events() {
		return new Object[][] { { "a", 1, 0, true }, { "a", 10, 9, true }, { "a", 9, 10, false }, { "a", 10, 10, true },
				{ "c", 10, 10, false }, { "c", 11, 10, true }, { "c", OutputClaims.Claim.COMPLETE, 10, true } };
	}

	@Test(dataProvider = "events")
	public void hostWithTheMostOutputContinuesAnItem(String host, int claimed, int held, boolean precedes) {
		OutputClaims claims = new OutputClaims();
		claims.replace(HostId.of(host), List.of(claim(claimed)), 0);
		Assert.assertEquals(claims.findPrecedingHost(ITEM, SELF, held, (h) -> true, 0),
				precedes ? Optional.of(HostId.of(host)) : Optional.empty());
	}

	@Test
	public void claimOfALostHostIsIgnored() {
		OutputClaims claims = new OutputClaims();
		claims.replace(HostId.of("a"), List.of(claim(10)), 0);
		Assert.assertTrue(claims.findPrecedingHost(ITEM, SELF, 0, (h) -> false, 0).isEmpty());
		Assert.assertFalse(claims.isClaimed(ITEM, (h) -> false, 0));
		claims.retain(Set.of());
		Assert.assertFalse(claims.isClaimed(ITEM, (h) -> true, 0));
	}

	@Test
	public void claimEndsWithTheNextReportWithoutIt() {
		OutputClaims claims = new OutputClaims();
		claims.replace(HostId.of("a"), List.of(claim(10)), 0);
		claims.replace(HostId.of("c"), List.of(claim(4)), 0);
		claims.replace(HostId.of("a"), List.of(), 0);
		Assert.assertEquals(claims.findPrecedingHost(ITEM, SELF, 0, (h) -> true, 0), Optional.of(HostId.of("c")));
		claims.replace(HostId.of("c"), List.of(), 0);
		Assert.assertFalse(claims.isClaimed(ITEM, (h) -> true, 0));
	}

	@Test
	public void claimWithoutProgressEnds() {
		OutputClaims claims = new OutputClaims();
		long end = OutputClaims.MAX_IDLE_MILLIS;
		claims.replace(HostId.of("a"), List.of(claim(10)), 0);
		claims.replace(HostId.of("a"), List.of(claim(10)), end - 100);
		Assert.assertTrue(claims.isClaimed(ITEM, (h) -> true, end));
		Assert.assertFalse(claims.isClaimed(ITEM, (h) -> true, end + 1));
		Assert.assertTrue(claims.findPrecedingHost(ITEM, SELF, 0, (h) -> true, end + 1).isEmpty());
		claims.replace(HostId.of("a"), List.of(claim(11)), end + 1);
		Assert.assertTrue(claims.isClaimed(ITEM, (h) -> true, end + 1));
	}

	// A datagram of more than one frame is lost with each of its frames.
	@Test
	public void claimsFitIntoOneFrameAndKeepTheMostOutput() {
		List<OutputClaims.Claim> all = LongStream.range(0, 500)
			.mapToObj((item) -> new OutputClaims.Claim(Long.MAX_VALUE - item, (int) (1_000_000 + item)))
			.toList();
		List<OutputClaims.Claim> selected = OutputClaims.select(all);
		Assert.assertEquals(selected.get(0), all.get(499));
		Datagram.Builder datagram = Datagram.newBuilder();
		selected.forEach((claim) -> datagram
			.addOutputClaims(OutputClaim.newBuilder().setItemHash(claim.itemHash()).setEvents(claim.events())));
		int length = datagram.build().getSerializedSize();
		Assert.assertTrue(length < 500, length + " bytes");
	}

	@DataProvider
	public Object[][] seeds() {
		return new Object[][] { { 1L }, { 2L }, { 3L }, { 4L } };
	}

	/**
	 * Three hosts hold output of one item, receive further events and each other's
	 * claims, which arrive late. A host that is preceded discards its output.
	 */
	@Test(dataProvider = "seeds")
	public void oneHostKeepsItsOutputWhateverTheOrderOfReports(long seed) {
		Random random = new Random(seed);
		for (int round = 0; round < 500; round++) {
			List<HostId> hosts = List.of(HostId.of("a"), HostId.of("b"), HostId.of("c"));
			List<OutputClaims> views = hosts.stream().map((host) -> new OutputClaims()).toList();
			List<Integer> events = new ArrayList<>(hosts.stream().map((host) -> 1 + random.nextInt(3)).toList());
			List<Runnable> inFlight = new ArrayList<>();
			for (int step = 0; step < 60; step++) {
				int host = random.nextInt(hosts.size());
				int held = events.get(host);
				if (held > 0 && random.nextBoolean()) {
					held += random.nextInt(2);
				}
				if (views.get(host).findPrecedingHost(ITEM, hosts.get(host), held, (h) -> true, 0).isPresent()) {
					held = 0;
				}
				events.set(host, held);
				List<OutputClaims.Claim> sent = (held > 0) ? List.of(claim(held)) : List.of();
				int receiver = (host + 1 + random.nextInt(2)) % hosts.size();
				inFlight.add(() -> views.get(receiver).replace(hosts.get(host), sent, 0));
				while (inFlight.size() > 2) {
					inFlight.remove(0).run();
				}
			}
			Assert.assertTrue(events.stream().anyMatch((held) -> held > 0), "round " + round + ": no output is left");
		}
	}

	private static OutputClaims.Claim claim(int events) {
		return new OutputClaims.Claim(ITEM, events);
	}

}
