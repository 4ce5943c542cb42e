package org.wigeonglade.entry.operator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.account.Account;
import org.wigeonglade.core.account.AccountBuilder;
import org.wigeonglade.core.account.AccountEventBuffer;
import org.wigeonglade.core.account.AccountInput;
import org.wigeonglade.core.account.AccountQuery;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.schema.generated.log.AccountRecord;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.Query;
import org.wigeonglade.schema.generated.peer.QueryAnswer;
import org.wigeonglade.schema.generated.peer.QueryKind;

/**
 * Query coordinator for accounts: combines the matching events of this host, of all other
 * hosts and of the log. Also handles the queries that other hosts send to this one.
 */
final class AccountCollector {

	private static final EventLogger LOGGER = EventLogger.of(AccountCollector.class);

	/**
	 * Timeout of a query to one host. An operator waits for the slowest host; the account
	 * lists the hosts that did not reply in time.
	 */
	private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_CONCURRENT_QUERIES = 16;

	private static final Set<String> JOB_SUBJECT_KINDS = Set.of("batch", "item", "partition");

	private static final String RECORDED_SINCE = "recordedSince";

	private final OperatorContext context;

	private final HostStatus status;

	private final DurableEventReader durableEvents;

	private final HostId self;

	private final long startWallMillis;

	AccountCollector(OperatorContext context, HostStatus status) {
		this.context = context;
		this.status = status;
		this.durableEvents = new DurableEventReader(context.log());
		this.self = HostId.of(context.settings().getHost());
		this.startWallMillis = context.ticker().wallMillis();
	}

	Uni<Account> collect(AccountQuery query) {
		List<Uni<HostEvents>> queries = new ArrayList<>();
		for (HostMember host : this.context.fleet().current().hosts()) {
			if (!host.id().equals(this.self)) {
				queries.add(queryHost(host.id(), query));
			}
		}
		Uni<List<HostEvents>> allResults = (queries.isEmpty()) ? Uni.createFrom().item(List.of())
				: Uni.join().all(queries).usingConcurrencyOf(MAX_CONCURRENT_QUERIES).andFailFast();
		return allResults.onItem()
			.transformToUni((results) -> this.durableEvents.read(query)
				.onItem()
				.transform((durable) -> AccountBuilder.build(merge(query, results, durable))));
	}

	Uni<PeerFrame> handleQuery(HostId from, PeerFrame frame) {
		Query query = frame.getQuery();
		QueryAnswer.Builder answer = QueryAnswer.newBuilder();
		switch (query.getKind()) {
			case HOST_STATUS -> answer.setJson(ByteString.copyFrom(this.status.toJson().toBuffer().getBytes()));
			case ACCOUNT_EVENTS -> {
				AccountEventBuffer.Result found = this.context.accountEvents().find(toAccountQuery(query));
				answer.addAllEvents(found.events())
					.setTruncated(found.truncated())
					.setJson(ByteString
						.copyFrom(new JsonObject().put(RECORDED_SINCE, this.startWallMillis).toBuffer().getBytes()));
			}
			default -> throw new PeerException(ErrorCode.PEER_UNSUPPORTED,
					"query kind " + query.getKindValue() + " is not known to this version");
		}
		return Uni.createFrom().item(PeerFrame.newBuilder().setQueryAnswer(answer).build());
	}

	private static AccountQuery toAccountQuery(Query query) {
		return new AccountQuery(query.getSubjectKind(), query.getSubjectId(), query.getFromWallTimeMs(),
				query.getToWallTimeMs());
	}

	private Uni<HostEvents> queryHost(HostId host, AccountQuery query) {
		PeerFrame frame = PeerFrame.newBuilder()
			.setQuery(Query.newBuilder()
				.setKind(QueryKind.ACCOUNT_EVENTS)
				.setSubjectKind(query.subjectKind())
				.setSubjectId(query.subjectId())
				.setFromWallTimeMs(query.fromWallMillis())
				.setToWallTimeMs(query.toWallMillis()))
			.build();
		return this.context.peers()
			.request(host, LinkPurpose.CONTROL, frame, PEER_TIMEOUT)
			.onItem()
			.transform((reply) -> HostEvents.of(host, reply.getQueryAnswer()))
			.onFailure()
			.recoverWithItem((failure) -> {
				LOGGER.log(OperatorEvent.QUERY_UNANSWERED, host.value(),
						(failure instanceof WigeongladeException known) ? known.getCode().getCode() : failure);
				return HostEvents.unavailable(host);
			});
	}

	private AccountInput merge(AccountQuery query, List<HostEvents> results, DurableEventReader.Result durable) {
		AccountEventBuffer.Result own = this.context.accountEvents().find(query);
		List<AccountRecord> events = new ArrayList<>(own.events());
		events.addAll(durable.events());
		List<String> unavailableHosts = new ArrayList<>();
		List<String> truncatedHosts = new ArrayList<>();
		if (own.truncated()) {
			truncatedHosts.add(this.self.value());
		}
		long latestStart = this.startWallMillis;
		for (HostEvents result : results) {
			if (!result.available()) {
				unavailableHosts.add(result.host().value());
				continue;
			}
			events.addAll(result.events());
			latestStart = Math.max(latestStart, result.startWallMillis());
			if (result.truncated()) {
				truncatedHosts.add(result.host().value());
			}
		}
		removeDuplicates(events, durable.events());
		return new AccountInput(query, events, unavailableHosts, truncatedHosts, latestStart, durable.complete(),
				durable.oldestWallMillis());
	}

	// Hosts also record events of jobs, items and partitions that the log contains.
	// The copy from the log is kept.
	private static void removeDuplicates(List<AccountRecord> events, List<AccountRecord> durable) {
		Set<String> keysInLog = new HashSet<>();
		durable.stream()
			.filter((event) -> JOB_SUBJECT_KINDS.contains(event.getSubjectKind()))
			.forEach((event) -> keysInLog.add(deduplicationKey(event)));
		events
			.removeIf((event) -> !event.getEventId().startsWith("log:") && keysInLog.contains(deduplicationKey(event)));
	}

	private static String deduplicationKey(AccountRecord event) {
		return event.getCode() + " " + event.getSubjectKind() + " " + event.getSubjectId();
	}

	/**
	 * Result of a query to one host.
	 *
	 * @param host the host
	 * @param available whether the host sent a readable reply in time
	 * @param events its matching events, empty if not available
	 * @param truncated whether the host dropped events that may match
	 * @param startWallMillis the start of the host in milliseconds since the epoch, 0 if
	 * not known
	 */
	private record HostEvents(HostId host, boolean available, List<AccountRecord> events, boolean truncated,
			long startWallMillis) {

		static HostEvents unavailable(HostId host) {
			return new HostEvents(host, false, List.of(), false, 0);
		}

		static HostEvents of(HostId host, QueryAnswer answer) {
			long startWallMillis = 0;
			try {
				startWallMillis = (answer.getJson().isEmpty()) ? 0
						: new JsonObject(answer.getJson().toStringUtf8()).getLong(RECORDED_SINCE, 0L);
			}
			catch (DecodeException | ClassCastException ex) {
				return unavailable(host);
			}
			return new HostEvents(host, true, answer.getEventsList(), answer.getTruncated(), startWallMillis);
		}

	}

}
