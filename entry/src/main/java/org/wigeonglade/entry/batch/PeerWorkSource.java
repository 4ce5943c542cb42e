package org.wigeonglade.entry.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.GrantIds;
import org.wigeonglade.core.batch.WorkSource;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkGrant;
import org.wigeonglade.schema.generated.peer.WorkItem;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkResult;

/**
 * Asks the owners of partitions for items in turn and sends results back to the owner
 * that granted them. An owner without items is not asked again for a short time.
 */
final class PeerWorkSource implements WorkSource {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	/** Bounds the time of one request; the next one begins with the next owner. */
	private static final int MAX_OWNERS_PER_REQUEST = 4;

	private static final long EMPTY_MILLIS = 100;

	private static final long LOST_MILLIS = 200;

	private final HostId self;

	private final LocalWork local;

	private final PeerTransport peers;

	private final PartitionRouter router;

	private final Ticker ticker;

	private final AtomicInteger cursor = new AtomicInteger();

	private final Map<String, Long> emptyUntil = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> probed = new ConcurrentHashMap<>();

	private final Map<HostId, Integer> remotePending = new ConcurrentHashMap<>();

	PeerWorkSource(HostId self, LocalWork local, PeerTransport peers, PartitionRouter router, Ticker ticker) {
		this.self = self;
		this.local = local;
		this.peers = peers;
		this.router = router;
		this.ticker = ticker;
	}

	void observePending(HostId host, int pending) {
		this.remotePending.put(host, pending);
	}

	@Override
	public Uni<WorkGrant> request(WorkRequest request) {
		List<HostId> owners = new ArrayList<>(this.router.likelyOwners());
		int start = Math.floorMod(this.cursor.getAndIncrement(), Math.max(1, owners.size()));
		long now = this.ticker.millis();
		Uni<WorkGrant> chain = Uni.createFrom().item(WorkGrant.getDefaultInstance());
		int asked = 0;
		for (int i = 0; i < owners.size() && asked < MAX_OWNERS_PER_REQUEST; i++) {
			HostId owner = owners.get((start + i) % owners.size());
			boolean skip = owner.equals(this.self) ? !this.local.hasPending(request.getService())
					: this.emptyUntil.getOrDefault(keyOf(owner, request), Long.MIN_VALUE) > now;
			if (!skip) {
				asked++;
				chain = chain.chain((grant) -> more(owner, grant, request));
			}
		}
		return chain;
	}

	@Override
	public Uni<WorkAck> report(WorkResult result) {
		Map<HostId, WorkResult.Builder> byOwner = new HashMap<>();
		result.getOutcomesList()
			.forEach((outcome) -> byOwner
				.computeIfAbsent(this.router.ownerOf(outcome.getPartition()), (host) -> WorkResult.newBuilder())
				.addOutcomes(outcome));
		result.getRunningGrantsList()
			.forEach((grant) -> byOwner
				.computeIfAbsent(this.router.ownerOf(GrantIds.partitionOf(grant)), (host) -> WorkResult.newBuilder())
				.addRunningGrants(grant));
		List<Uni<WorkAck>> acks = new ArrayList<>();
		byOwner.forEach((owner, part) -> acks.add(send(owner, part.build())));
		if (acks.isEmpty()) {
			return Uni.createFrom().item(WorkAck.getDefaultInstance());
		}
		return Uni.join().all(acks).andCollectFailures().map((all) -> {
			WorkAck.Builder merged = WorkAck.newBuilder();
			all.forEach(merged::mergeFrom);
			return merged.build();
		});
	}

	@Override
	public boolean hasPending(String service) {
		if (this.local.hasPending(service) || this.remotePending.values().stream().anyMatch((count) -> count > 0)) {
			return true;
		}
		// Without a recent hint one caller in a while is told to try.
		long now = this.ticker.millis();
		AtomicLong last = this.probed.computeIfAbsent(service, (key) -> new AtomicLong(now - LOST_MILLIS));
		long before = last.get();
		return now - before >= LOST_MILLIS && last.compareAndSet(before, now);
	}

	private Uni<WorkGrant> more(HostId owner, WorkGrant grant, WorkRequest request) {
		int wanted = request.getMaxItems() - grant.getItemsCount();
		if (wanted <= 0 || grant.getItemsList().stream().anyMatch(WorkItem::getSuspect)) {
			return Uni.createFrom().item(grant);
		}
		WorkRequest rest = request.toBuilder()
			.setMaxItems(wanted)
			.setIsolated(request.getIsolated() && grant.getItemsCount() == 0)
			.build();
		return ask(owner, rest).map((answer) -> {
			answer.getItemsList().forEach((item) -> this.router.learn(item.getPartition(), owner));
			return grant.toBuilder()
				.addAllItems(answer.getItemsList())
				.setWorkLeaseMs(Math.max(grant.getWorkLeaseMs(), answer.getWorkLeaseMs()))
				.build();
		});
	}

	private Uni<WorkGrant> ask(HostId owner, WorkRequest request) {
		if (owner.equals(this.self)) {
			return this.local.request(request);
		}
		PeerFrame frame = PeerFrame.newBuilder().setWorkRequest(request).build();
		return this.peers.request(owner, LinkPurpose.BATCH, frame, TIMEOUT).map((answer) -> {
			if (answer.getWorkGrant().getItemsCount() == 0) {
				this.emptyUntil.put(keyOf(owner, request), this.ticker.millis() + EMPTY_MILLIS);
			}
			return answer.getWorkGrant();
		}).onFailure().recoverWithItem(() -> {
			this.emptyUntil.put(keyOf(owner, request), this.ticker.millis() + LOST_MILLIS);
			return WorkGrant.getDefaultInstance();
		});
	}

	private Uni<WorkAck> send(HostId owner, WorkResult result) {
		if (owner.equals(this.self)) {
			return this.local.report(result).invoke((ack) -> forgetUnanswered(owner, result, ack));
		}
		PeerFrame frame = PeerFrame.newBuilder().setWorkResult(result).build();
		return this.peers.request(owner, LinkPurpose.BATCH, frame, TIMEOUT)
			.map(PeerFrame::getWorkAck)
			.invoke((ack) -> forgetUnanswered(owner, result, ack))
			.onFailure()
			.recoverWithItem(() -> {
				forgetUnanswered(owner, result, WorkAck.getDefaultInstance());
				return WorkAck.getDefaultInstance();
			});
	}

	// An owner that takes nothing may have been replaced; the next report goes to the
	// host
	// that ranks first.
	private void forgetUnanswered(HostId owner, WorkResult result, WorkAck ack) {
		Set<Long> accepted = Set.copyOf(ack.getAcceptedGrantsList());
		for (WorkOutcome outcome : result.getOutcomesList()) {
			if (!accepted.contains(outcome.getGrantId())) {
				this.router.forget(outcome.getPartition(), owner);
			}
		}
	}

	private static String keyOf(HostId owner, WorkRequest request) {
		return owner.value() + "/" + request.getService();
	}

}
