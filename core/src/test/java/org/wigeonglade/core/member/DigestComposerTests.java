package org.wigeonglade.core.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Guards against digests that exceed the budget of control traffic, load entries that are
 * never sent, and receivers that keep load after it ended.
 */
public class DigestComposerTests {

	private static final int MAX_BYTES = 200;

	@Test
	void digestsStayWithinTheirSizeAndSendEveryEntryInTurn() {
		DigestComposer composer = new DigestComposer();
		Random random = new Random(20_260_105L);
		Map<String, Integer> lastRound = new HashMap<>();
		for (int round = 1; round <= 200; round++) {
			Digest.Builder load = Digest.newBuilder();
			IntStream.range(0, 30).forEach((i) -> load.addUpstreams(view("runner-" + i, 10 + random.nextInt(20))));
			Digest.Builder digest = Digest.newBuilder();
			composer.compose(digest, load.build(), MAX_BYTES);
			Assert.assertTrue(digest.build().getSerializedSize() <= MAX_BYTES);
			for (UpstreamView view : digest.getUpstreamsList()) {
				lastRound.put(view.getUpstream(), round);
			}
		}
		Assert.assertEquals(lastRound.size(), 30);
		lastRound.forEach((name, round) -> Assert.assertTrue(round > 170, name + " was last sent in round " + round));
	}

	@Test
	void endOfLoadIsReportedAndLeavingUpstreamsAreAlwaysSent() {
		DigestComposer composer = new DigestComposer();
		ReceivedLoad received = new ReceivedLoad(HostId.of("a"), FailureDomain.of("fi-a"), 1);
		UpstreamView leaving = UpstreamView.newBuilder().setUpstream("gone").setLeaving(true).build();
		Digest load = Digest.newBuilder().addUpstreams(view("runner", 5)).addUpstreams(leaving).build();
		apply(composer, received, load);
		Assert.assertEquals(getOnline(received), 5);
		Digest last = apply(composer, received, Digest.newBuilder().addUpstreams(leaving).build());
		Assert.assertTrue(last.getUpstreamsList().contains(leaving));
		Assert.assertEquals(getOnline(received), 0);
	}

	private static Digest apply(DigestComposer composer, ReceivedLoad received, Digest load) {
		Digest.Builder digest = Digest.newBuilder();
		composer.compose(digest, load, MAX_BYTES);
		received.apply(digest.build(), 0);
		return digest.build();
	}

	private static int getOnline(ReceivedLoad received) {
		return FleetLoad.of(List.of(received)).getUpstream(UpstreamId.of("runner")).inFlightOnline();
	}

	private static UpstreamView view(String name, int online) {
		return UpstreamView.newBuilder().setUpstream(name).setInFlightOnline(online).setLimit(32).build();
	}

}
