package org.wigeonglade.entry.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

import com.google.common.hash.Hashing;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.batch.BatchPolicy;
import org.wigeonglade.core.batch.PartitionAgent;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.peer.AppendRequest;
import org.wigeonglade.schema.generated.peer.AppendResponse;
import org.wigeonglade.schema.generated.peer.AppendStatus;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Forwards entries to the owner of their partition, so that few hosts append to the log,
 * and appends them directly when the assumed owner does not respond or is not the owner.
 * An entry may therefore be appended more than once; it takes effect only once.
 */
final class PartitionRouter {

	private static final String STREAM_PREFIX = "jobs-";

	private final HostId self;

	private final PeerTransport peers;

	private final FleetViewSource fleet;

	private final BatchPolicy policy;

	private final PartitionRankingCache rankings;

	private final Function<Integer, PartitionAgent> agents;

	private final IntPredicate ownedLocally;

	private final IntFunction<Optional<HostId>> lastReadOwner;

	private final Map<Integer, HostId> ownerCache = new ConcurrentHashMap<>();

	PartitionRouter(HostId self, PeerTransport peers, FleetViewSource fleet, BatchPolicy policy,
			PartitionRankingCache rankings, Function<Integer, PartitionAgent> agents, IntPredicate ownedLocally,
			IntFunction<Optional<HostId>> lastReadOwner) {
		this.self = self;
		this.peers = peers;
		this.fleet = fleet;
		this.policy = policy;
		this.rankings = rankings;
		this.agents = agents;
		this.ownedLocally = ownedLocally;
		this.lastReadOwner = lastReadOwner;
	}

	static String streamOf(int partition) {
		return STREAM_PREFIX + partition;
	}

	PartitionAgent agent(int partition) {
		return this.agents.apply(partition);
	}

	int partitionOf(String workspace, String key) {
		int partitions = this.policy.getPartitions();
		if (key.isEmpty()) {
			List<Integer> own = IntStream.range(0, partitions).filter(this.ownedLocally).boxed().toList();
			int random = ThreadLocalRandom.current().nextInt(partitions);
			return own.isEmpty() ? random : own.get(random % own.size());
		}
		return Math.floorMod(Hashing.murmur3_128().hashString(workspace + "\n" + key, StandardCharsets.UTF_8).asLong(),
				partitions);
	}

	HostId ownerOf(int partition) {
		if (this.ownedLocally.test(partition)) {
			return this.self;
		}
		Optional<HostId> known = Optional.ofNullable(this.ownerCache.get(partition))
			.or(() -> this.lastReadOwner.apply(partition))
			.filter((host) -> !host.equals(this.self) && this.fleet.current().findHost(host).isPresent());
		if (known.isPresent()) {
			return known.get();
		}
		List<HostId> ranked = this.rankings.rank(partition, this.fleet.current());
		return ranked.isEmpty() ? this.self : ranked.get(0);
	}

	Set<HostId> likelyOwners() {
		Set<HostId> hosts = new LinkedHashSet<>();
		for (int partition = 0; partition < this.policy.getPartitions(); partition++) {
			hosts.add(ownerOf(partition));
		}
		return hosts;
	}

	void recordOwner(int partition, HostId owner) {
		this.ownerCache.put(partition, owner);
	}

	void clearOwner(int partition, HostId owner) {
		this.ownerCache.remove(partition, owner);
	}

	Uni<Long> append(int partition, List<LogEntry> entries, boolean urgent, Duration timeout) {
		HostId owner = ownerOf(partition);
		if (owner.equals(this.self)) {
			return agent(partition).append(entries, urgent, timeout);
		}
		PeerFrame frame = PeerFrame.newBuilder()
			.setAppendRequest(AppendRequest.newBuilder()
				.setStream(streamOf(partition))
				.addAllEntries(entries)
				.setInteractive(urgent)
				.setOriginHost(this.self.value()))
			.build();
		return this.peers.request(owner, LinkPurpose.BATCH, frame, timeout)
			.map(PeerFrame::getAppendResponse)
			.onFailure()
			.recoverWithItem(AppendResponse.newBuilder().setStatus(AppendStatus.APPEND_UNKNOWN).build())
			.chain((response) -> handleResponse(partition, owner, response, entries, urgent, timeout));
	}

	// Without a response the owner may have appended the entries, so a failure of the
	// direct append must then be reported as unknown, never as not appended.
	private Uni<Long> handleResponse(int partition, HostId owner, AppendResponse response, List<LogEntry> entries,
			boolean urgent, Duration timeout) {
		if (response.getStatus() == AppendStatus.APPENDED) {
			recordOwner(partition, owner);
			return Uni.createFrom().item(response.getOffset());
		}
		if (response.getStatus() == AppendStatus.NOT_APPENDED) {
			return Uni.createFrom()
				.failure(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the log did not accept the record",
						null));
		}
		clearOwner(partition, owner);
		boolean unknown = response.getStatus() != AppendStatus.NOT_OWNER;
		return agent(partition).append(entries, urgent, timeout)
			.onFailure()
			.transform((failure) -> unknown
					? new PlatformException(ErrorCode.PLATFORM_UNKNOWN, "the log did not confirm the record", failure)
					: failure);
	}

}
