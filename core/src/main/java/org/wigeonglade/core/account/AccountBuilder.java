package org.wigeonglade.core.account;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Builder of accounts from collected events. A pure function of its input: every
 * statement is built from exactly one event, and gaps in the events are stated.
 */
public final class AccountBuilder {

	private AccountBuilder() {
	}

	/**
	 * Builds the account.
	 * @param input the collected events, not null
	 * @return the account, with statements in causal order, never null
	 */
	public static Account build(AccountInput input) {
		List<AccountRecord> events = CausalOrder.sort(input.events());
		List<Account.Gap> gaps = gaps(input, events);
		List<Account.Statement> statements = events.stream()
			.map((event) -> new Account.Statement(event.getEventId(), EventSentences.time(event.getWallTimeMs()),
					EventSentences.describe(event), EventSentences.detail(event)))
			.toList();
		return new Account(summary(input.query(), events, gaps), statements, gaps);
	}

	private static String summary(AccountQuery query, List<AccountRecord> events, List<Account.Gap> gaps) {
		if (events.isEmpty()) {
			return "Nothing is recorded about this" + ((gaps.isEmpty()) ? "." : ", but the account has gaps.");
		}
		if (!hasSingleOutcome(query)) {
			return pluralize(events.size(), "event", "events") + ((events.size() == 1) ? " is" : " are") + " recorded.";
		}
		AccountRecord end = events.stream()
			.filter((event) -> query.matches(event) && isTerminal(event))
			.reduce((first, second) -> second)
			.orElse(null);
		if (end == null) {
			return "No end of this " + query.subjectKind() + " is recorded"
					+ ((gaps.isEmpty()) ? "; it may still be running." : "; the account has gaps.");
		}
		return EventSentences.describe(end);
	}

	private static boolean hasSingleOutcome(AccountQuery query) {
		return query.subjectKind().equals("request") || query.subjectKind().equals("item");
	}

	private static boolean isTerminal(AccountRecord event) {
		return EventSentences.codeOf(event).map((code) -> switch (code) {
			case COMPLETED, FAILED, REFUSED, CANCELLED, OUTCOME_UNKNOWN, CLIENT_GONE -> true;
			default -> false;
		}).orElse(false);
	}

	private static List<Account.Gap> gaps(AccountInput input, List<AccountRecord> events) {
		List<Account.Gap> gaps = new ArrayList<>();
		if (!input.unresponsiveHosts().isEmpty()) {
			gaps.add(new Account.Gap(
					pluralize(input.unresponsiveHosts().size(), "host", "hosts")
							+ " did not answer. What was recorded only there is missing.",
					join(input.unresponsiveHosts())));
		}
		if (!input.truncatedHosts().isEmpty()) {
			gaps.add(new Account.Gap(
					pluralize(input.truncatedHosts().size(), "host", "hosts")
							+ " no longer kept all older events. Some events may be missing.",
					join(input.truncatedHosts())));
		}
		if (!input.logRead()) {
			gaps.add(new Account.Gap("The log of the platform could not be read."
					+ " What lost or restarted hosts had recorded there is missing.", ""));
		}
		else if (input.logOldestWallMillis() > input.query().fromWallMillis()) {
			gaps.add(new Account.Gap("Records from before " + EventSentences.time(input.logOldestWallMillis())
					+ " have expired in the log of the platform.", ""));
		}
		addRestartGap(input, events, gaps);
		addCauseGap(events, gaps);
		return gaps;
	}

	private static void addRestartGap(AccountInput input, List<AccountRecord> events, List<Account.Gap> gaps) {
		boolean historyComplete = events.stream()
			.anyMatch((event) -> event.getCode() == AccountCode.ACCEPTED.getNumber()
					|| hasSingleOutcome(input.query()) && isTerminal(event));
		if (!historyComplete && input.latestStartWallMillis() > input.query().fromWallMillis()) {
			gaps.add(new Account.Gap("Hosts keep most events in memory. The latest start of a host was at "
					+ EventSentences.time(input.latestStartWallMillis())
					+ "; what that host had recorded before then is missing.", ""));
		}
	}

	private static void addCauseGap(List<AccountRecord> events, List<Account.Gap> gaps) {
		Set<String> known = events.stream().map(AccountRecord::getEventId).collect(Collectors.toSet());
		List<String> missing = events.stream()
			.map(AccountRecord::getCauseEventId)
			.filter((cause) -> !cause.isEmpty() && !known.contains(cause))
			.distinct()
			.toList();
		if (!missing.isEmpty()) {
			gaps.add(new Account.Gap("The cause of " + pluralize(missing.size(), "event", "events")
					+ " is recorded elsewhere and was not found.", join(missing)));
		}
	}

	private static String pluralize(int number, String one, String many) {
		return number + " " + ((number == 1) ? one : many);
	}

	private static String join(List<String> names) {
		return String.join(", ", names);
	}

}
