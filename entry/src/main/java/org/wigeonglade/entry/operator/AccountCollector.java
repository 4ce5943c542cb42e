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
 * Collects events from this host, the other hosts and the log, and answers the queries of
 * other hosts.
 */
final class AccountCollector {

	private static final EventLogger LOGGER = EventLogger.of(AccountCollector.class);

	/**
	 * Time for one host to answer. An operator waits for the slowest host, and the
	 * account states who did not answer.
	 */
	private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_CONCURRENT_QUERIES = 16;

	private static final Set<String> JOB_KINDS = Set.of("batch", "item", "partition");

	private static final String SINCE = "recordedSince";

	private final OperatorContext context;

	private final HostStatus status;

	private final DurableEvents durable;

	private final HostId self;

	private final long startWallMillis;

	AccountCollector(OperatorContext context, HostStatus status) {
		this.context = context;
		this.status = status;
		this.durable = new DurableEvents(context.log());
		this.self = HostId.of(context.settings().getHost());
		this.startWallMillis = context.ticker().wallMillis();
	}

	Uni<Account> explain(AccountQuery query) {
		List<Uni<HostAnswer>> questions = new ArrayList<>();
		for (HostMember host : this.context.fleet().current().hosts()) {
			if (!host.id().equals(this.self)) {
				questions.add(ask(host.id(), query));
			}
		}
		Uni<List<HostAnswer>> answers = (questions.isEmpty()) ? Uni.createFrom().item(List.of())
				: Uni.join().all(questions).usingConcurrencyOf(MAX_CONCURRENT_QUERIES).andFailFast();
		return answers.onItem()
			.transformToUni((list) -> this.durable.read(query)
				.onItem()
				.transform((found) -> AccountBuilder.build(merge(query, list, found))));
	}

	Uni<PeerFrame> answer(HostId from, PeerFrame frame) {
		Query query = frame.getQuery();
		QueryAnswer.Builder answer = QueryAnswer.newBuilder();
		switch (query.getKind()) {
			case HOST_STATUS -> answer.setJson(ByteString.copyFrom(this.status.describe().toBuffer().getBytes()));
			case ACCOUNT_EVENTS -> {
				AccountEventBuffer.Result found = this.context.account().find(toAccountQuery(query));
				answer.addAllEvents(found.events())
					.setTruncated(found.truncated())
					.setJson(ByteString
						.copyFrom(new JsonObject().put(SINCE, this.startWallMillis).toBuffer().getBytes()));
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

	private Uni<HostAnswer> ask(HostId host, AccountQuery query) {
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
			.transform((reply) -> HostAnswer.of(host, reply.getQueryAnswer()))
			.onFailure()
			.recoverWithItem((failure) -> {
				LOGGER.log(OperatorEvent.QUERY_UNANSWERED, host.value(),
						(failure instanceof WigeongladeException known) ? known.getCode().getCode() : failure);
				return HostAnswer.silent(host);
			});
	}

	private AccountInput merge(AccountQuery query, List<HostAnswer> answers, DurableEvents.Found found) {
		AccountEventBuffer.Result own = this.context.account().find(query);
		List<AccountRecord> events = new ArrayList<>(own.events());
		events.addAll(found.events());
		List<String> silent = new ArrayList<>();
		List<String> truncated = new ArrayList<>();
		if (own.truncated()) {
			truncated.add(this.self.value());
		}
		long latestStart = this.startWallMillis;
		for (HostAnswer answer : answers) {
			if (!answer.answered()) {
				silent.add(answer.host().value());
				continue;
			}
			events.addAll(answer.events());
			latestStart = Math.max(latestStart, answer.since());
			if (answer.truncated()) {
				truncated.add(answer.host().value());
			}
		}
		dropTold(events, found.events());
		return new AccountInput(query, events, silent, truncated, latestStart, found.complete(),
				found.oldestWallMillis());
	}

	// A host also records the acceptance and the cancellation of a job that the log
	// tells.
	private static void dropTold(List<AccountRecord> events, List<AccountRecord> durable) {
		Set<String> told = new HashSet<>();
		durable.stream()
			.filter((event) -> JOB_KINDS.contains(event.getSubjectKind()))
			.forEach((event) -> told.add(key(event)));
		events.removeIf((event) -> !event.getEventId().startsWith("log:") && told.contains(key(event)));
	}

	private static String key(AccountRecord event) {
		return event.getCode() + " " + event.getSubjectKind() + " " + event.getSubjectId();
	}

	/**
	 * Holds the answer of one host.
	 *
	 * @param host the host
	 * @param answered whether it answered in time
	 * @param events its matching events
	 * @param truncated whether it dropped events that may match
	 * @param since when it started
	 */
	private record HostAnswer(HostId host, boolean answered, List<AccountRecord> events, boolean truncated,
			long since) {

		static HostAnswer silent(HostId host) {
			return new HostAnswer(host, false, List.of(), false, 0);
		}

		static HostAnswer of(HostId host, QueryAnswer answer) {
			long since = 0;
			try {
				since = (answer.getJson().isEmpty()) ? 0
						: new JsonObject(answer.getJson().toStringUtf8()).getLong(SINCE, 0L);
			}
			catch (DecodeException | ClassCastException ex) {
				return silent(host);
			}
			return new HostAnswer(host, true, answer.getEventsList(), answer.getTruncated(), since);
		}

	}

}
