package org.wigeonglade.bench.capacity;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetLoad;
import org.wigeonglade.core.member.MemberTable;
import org.wigeonglade.core.member.MemberTiming;
import org.wigeonglade.core.member.ReceivedLoad;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.HostView;
import org.wigeonglade.schema.generated.peer.PartitionView;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.ServiceView;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Measures the digests that hosts send to each other. A digest is encoded once for each
 * interval and decoded once for each sender.
 */
final class DigestSlopes {

	private static final int SERVICES = 8;

	private static final int REPEATS = 50;

	private DigestSlopes() {
	}

	static Slope bytesPerUpstream(List<Integer> sizes) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new Slope.Point(size, digest(0, size, 0, 1).getSerializedSize()));
		}
		return Slope.fit("digest.bytes.upstream", "upstreams", "bytes", points);
	}

	static Slope bytesPerRelayedHost(List<Integer> sizes) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new Slope.Point(size, digest(0, 0, size, 1).getSerializedSize()));
		}
		return Slope.fit("digest.bytes.relayed", "relayed hosts", "bytes", points);
	}

	static Slope encodeTime(List<Integer> sizes) {
		List<Slope.Point> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new Slope.Point(size, Measure.cpuNanos(() -> encode(size)) / 1000 / REPEATS));
		}
		return Slope.fit("digest.cpu.encode", "upstreams", "us", points);
	}

	// One round of all peers: each digest is decoded and applied, then the load is summed
	// up
	// once.
	static Slope receiveTime(List<Integer> peers, int upstreams) {
		List<Slope.Point> points = new ArrayList<>();
		for (int count : peers) {
			List<byte[]> frames = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				frames.add(digest(i, upstreams, 4, 1).toByteArray());
			}
			points.add(new Slope.Point(count, Measure.cpuNanos(() -> receive(frames)) / 1000));
		}
		return Slope.fit("digest.cpu.receive", "peers", "us", points);
	}

	private static Object encode(int upstreams) {
		byte[] last = null;
		for (int i = 0; i < REPEATS; i++) {
			last = digest(0, upstreams, 4, i).toByteArray();
		}
		return last;
	}

	private static Object receive(List<byte[]> frames) {
		MemberTable table = MemberTable.of(HostId.of("entry-self"), FailureDomain.of("ar-centro-a"),
				new MemberTiming(3000, MemberTiming.DEFAULT_MESH_LIMIT));
		List<ReceivedLoad> received = new ArrayList<>();
		try {
			for (byte[] frame : frames) {
				Digest digest = PeerFrame.parseFrom(frame).getDigest();
				table.applyHost(digest.getSelf(), 1);
				digest.getKnownHostsList().forEach((view) -> table.applyHost(view, 1));
				ReceivedLoad load = new ReceivedLoad(HostId.of(digest.getSelf().getHost()),
						FailureDomain.of(digest.getSelf().getFailureDomain()), digest.getSelf().getIncarnation());
				load.apply(digest, 1);
				received.add(load);
			}
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException("a digest of the measurement cannot be decoded", ex);
		}
		return List.of(FleetLoad.of(received), table.toView(1, true));
	}

	private static PeerFrame digest(int sender, int upstreams, int relayed, int beat) {
		Digest.Builder digest = Digest.newBuilder()
			.setSelf(host(sender, beat))
			.setConfigVersion(630)
			.setControlOffset(100_000)
			.setPlatformReachable(true);
		for (int i = 0; i < upstreams; i++) {
			digest.addUpstreams(UpstreamView.newBuilder()
				.setUpstream("ar-centro-a-runner-" + i)
				.setIncarnation(3)
				.setInFlightOnline(5)
				.setInFlightBatch(9)
				.setLimit(24));
		}
		for (int i = 0; i < relayed; i++) {
			digest.addKnownHosts(host(1000 + i, beat));
		}
		for (int i = 0; i < SERVICES; i++) {
			digest.addServices(ServiceView.newBuilder()
				.setService("service-" + i)
				.setOnlineArrivalsPerS(1.5)
				.setSpareSlots(20)
				.setPendingBatchItems(40_000));
		}
		digest.addPartitions(PartitionView.newBuilder()
			.setPartition(sender % 64)
			.setTerm(17)
			.setPendingItems(9000)
			.setHeadOffset(1_000_000));
		return PeerFrame.newBuilder().setProtocolVersion(1).setDigest(digest).build();
	}

	private static HostView host(int index, int beat) {
		return HostView.newBuilder()
			.setHost("ar-centro-a-entry-" + index)
			.setIncarnation(1_767_225_600_000L)
			.setFailureDomain("ar-centro-a")
			.setRegion("ar-centro")
			.setPeerAddress("10.20.30.40:7070")
			.setHeartbeat(86_400L + beat)
			.setConfigVersion(630)
			.setProtocolVersion(1)
			.build();
	}

}
