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
 * Sends entries to the owner of their partition, so that few hosts write to the log, and
 * appends them directly when the owner cannot be reached. Every entry sent this way has
 * an effect once only, however often it is appended.
 */
final class PartitionRouter {

	private static final String STREAM_PREFIX = "jobs-";

	private final HostId self;

	private final PeerTransport peers;

	private final FleetViewSource fleet;

	private final BatchPolicy policy;

	private final RankTable ranks;

	private final Function<Integer, PartitionAgent> agents;

	private final IntPredicate ownedHere;

	private final IntFunction<Optional<HostId>> readOwner;

	private final Map<Integer, HostId> owners = new ConcurrentHashMap<>();

	PartitionRouter(HostId self, PeerTransport peers, FleetViewSource fleet, BatchPolicy policy, RankTable ranks,
			Function<Integer, PartitionAgent> agents, IntPredicate ownedHere, IntFunction<Optional<HostId>> readOwner) {
		this.self = self;
		this.peers = peers;
		this.fleet = fleet;
		this.policy = policy;
		this.ranks = ranks;
		this.agents = agents;
		this.ownedHere = ownedHere;
		this.readOwner = readOwner;
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
			List<Integer> own = IntStream.range(0, partitions).filter(this.ownedHere).boxed().toList();
			int random = ThreadLocalRandom.current().nextInt(partitions);
			return own.isEmpty() ? random : own.get(random % own.size());
		}
		return Math.floorMod(Hashing.murmur3_128().hashString(workspace + "\n" + key, StandardCharsets.UTF_8).asLong(),
				partitions);
	}

	HostId ownerOf(int partition) {
		if (this.ownedHere.test(partition)) {
			return this.self;
		}
		Optional<HostId> learned = Optional.ofNullable(this.owners.get(partition))
			.or(() -> this.readOwner.apply(partition))
			.filter((host) -> !host.equals(this.self) && this.fleet.current().findHost(host).isPresent());
		if (learned.isPresent()) {
			return learned.get();
		}
		List<HostId> ranked = this.ranks.rank(partition, this.fleet.current());
		return ranked.isEmpty() ? this.self : ranked.get(0);
	}

	Set<HostId> likelyOwners() {
		Set<HostId> hosts = new LinkedHashSet<>();
		for (int partition = 0; partition < this.policy.getPartitions(); partition++) {
			hosts.add(ownerOf(partition));
		}
		return hosts;
	}

	void learn(int partition, HostId owner) {
		this.owners.put(partition, owner);
	}

	void forget(int partition, HostId owner) {
		this.owners.remove(partition, owner);
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
			.chain((answer) -> follow(partition, owner, answer, entries, urgent, timeout));
	}

	// The owner may have appended the entries although its answer is missing; a refusal
	// after that must not claim that nothing was appended.
	private Uni<Long> follow(int partition, HostId owner, AppendResponse answer, List<LogEntry> entries, boolean urgent,
			Duration timeout) {
		if (answer.getStatus() == AppendStatus.APPENDED) {
			learn(partition, owner);
			return Uni.createFrom().item(answer.getOffset());
		}
		if (answer.getStatus() == AppendStatus.NOT_APPENDED) {
			return Uni.createFrom()
				.failure(
						new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "the log did not take the record", null));
		}
		forget(partition, owner);
		boolean unknown = answer.getStatus() != AppendStatus.NOT_OWNER;
		return agent(partition).append(entries, urgent, timeout)
			.onFailure()
			.transform((failure) -> unknown
					? new PlatformException(ErrorCode.PLATFORM_UNKNOWN, "the log did not confirm the record", failure)
					: failure);
	}

}
