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
 * Source of work that requests items from the owners of partitions in round-robin order,
 * and reports results to the owner of the partition. An owner that had no items or could
 * not be reached is skipped for a short time.
 */
final class PeerWorkSource implements WorkSource {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	/** Bounds the time of one request; the next request starts at the next owner. */
	private static final int MAX_OWNERS_PER_REQUEST = 4;

	/** Time for which an owner without items is skipped. */
	private static final long EMPTY_BACKOFF_MILLIS = 100;

	/**
	 * Time for which an unreachable owner is skipped, and least time between two attempts
	 * for a service without known pending items.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 200;

	private final HostId self;

	private final LocalWorkService local;

	private final PeerTransport peers;

	private final PartitionRouter router;

	private final Ticker ticker;

	private final AtomicInteger cursor = new AtomicInteger();

	private final Map<String, Long> skipUntilMillis = new ConcurrentHashMap<>();

	private final Map<String, AtomicLong> lastProbeMillis = new ConcurrentHashMap<>();

	private final Map<HostId, Integer> remotePending = new ConcurrentHashMap<>();

	PeerWorkSource(HostId self, LocalWorkService local, PeerTransport peers, PartitionRouter router, Ticker ticker) {
		this.self = self;
		this.local = local;
		this.peers = peers;
		this.router = router;
		this.ticker = ticker;
	}

	void updateRemotePending(HostId host, int pending) {
		this.remotePending.put(host, pending);
	}

	@Override
	public Uni<WorkGrant> request(WorkRequest request) {
		List<HostId> owners = new ArrayList<>(this.router.likelyOwners());
		int start = Math.floorMod(this.cursor.getAndIncrement(), Math.max(1, owners.size()));
		long now = this.ticker.millis();
		Uni<WorkGrant> chain = Uni.createFrom().item(WorkGrant.getDefaultInstance());
		int requested = 0;
		for (int i = 0; i < owners.size() && requested < MAX_OWNERS_PER_REQUEST; i++) {
			HostId owner = owners.get((start + i) % owners.size());
			boolean skip = owner.equals(this.self) ? !this.local.hasPending(request.getService())
					: this.skipUntilMillis.getOrDefault(keyOf(owner, request), Long.MIN_VALUE) > now;
			if (!skip) {
				requested++;
				chain = chain.chain((grant) -> requestMore(owner, grant, request));
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
		byOwner.forEach((owner, part) -> acks.add(sendResult(owner, part.build())));
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
		// Counts from digests may be out of date, so that one attempt in each interval is
		// allowed without known pending items.
		long now = this.ticker.millis();
		AtomicLong lastProbe = this.lastProbeMillis.computeIfAbsent(service,
				(key) -> new AtomicLong(now - PROBE_INTERVAL_MILLIS));
		long previous = lastProbe.get();
		return now - previous >= PROBE_INTERVAL_MILLIS && lastProbe.compareAndSet(previous, now);
	}

	private Uni<WorkGrant> requestMore(HostId owner, WorkGrant grant, WorkRequest request) {
		int wanted = request.getMaxItems() - grant.getItemsCount();
		if (wanted <= 0 || grant.getItemsList().stream().anyMatch(WorkItem::getSuspect)) {
			return Uni.createFrom().item(grant);
		}
		WorkRequest rest = request.toBuilder()
			.setMaxItems(wanted)
			.setIsolated(request.getIsolated() && grant.getItemsCount() == 0)
			.build();
		return requestFrom(owner, rest).map((granted) -> {
			granted.getItemsList().forEach((item) -> this.router.recordOwner(item.getPartition(), owner));
			return grant.toBuilder()
				.addAllItems(granted.getItemsList())
				.setWorkLeaseMs(Math.max(grant.getWorkLeaseMs(), granted.getWorkLeaseMs()))
				.build();
		});
	}

	private Uni<WorkGrant> requestFrom(HostId owner, WorkRequest request) {
		if (owner.equals(this.self)) {
			return this.local.request(request);
		}
		PeerFrame frame = PeerFrame.newBuilder().setWorkRequest(request).build();
		return this.peers.request(owner, LinkPurpose.BATCH, frame, TIMEOUT).map((response) -> {
			if (response.getWorkGrant().getItemsCount() == 0) {
				this.skipUntilMillis.put(keyOf(owner, request), this.ticker.millis() + EMPTY_BACKOFF_MILLIS);
			}
			return response.getWorkGrant();
		}).onFailure().recoverWithItem(() -> {
			this.skipUntilMillis.put(keyOf(owner, request), this.ticker.millis() + PROBE_INTERVAL_MILLIS);
			return WorkGrant.getDefaultInstance();
		});
	}

	private Uni<WorkAck> sendResult(HostId owner, WorkResult result) {
		if (owner.equals(this.self)) {
			return this.local.report(result).invoke((ack) -> clearUnacknowledgedOwner(owner, result, ack));
		}
		PeerFrame frame = PeerFrame.newBuilder().setWorkResult(result).build();
		return this.peers.request(owner, LinkPurpose.BATCH, frame, TIMEOUT)
			.map(PeerFrame::getWorkAck)
			.invoke((ack) -> clearUnacknowledgedOwner(owner, result, ack))
			.onFailure()
			.recoverWithItem(() -> {
				clearUnacknowledgedOwner(owner, result, WorkAck.getDefaultInstance());
				return WorkAck.getDefaultInstance();
			});
	}

	// An owner that does not acknowledge an outcome may have lost the partition. Clearing
	// it makes the next report go to the last owner read from the log or, without one, to
	// the host that ranks first.
	private void clearUnacknowledgedOwner(HostId owner, WorkResult result, WorkAck ack) {
		Set<Long> accepted = Set.copyOf(ack.getAcceptedGrantsList());
		for (WorkOutcome outcome : result.getOutcomesList()) {
			if (!accepted.contains(outcome.getGrantId())) {
				this.router.clearOwner(outcome.getPartition(), owner);
			}
		}
	}

	private static String keyOf(HostId owner, WorkRequest request) {
		return owner.value() + "/" + request.getService();
	}

}
