package org.wigeonglade.core.account;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Turns collected events into an account. Pure function of its input: every statement is
 * built from exactly one event, and what is missing is stated.
 */
public final class AccountTeller {

	private AccountTeller() {
	}

	/**
	 * Returns the account.
	 * @param material the collected events, not null
	 * @return the account, never null
	 */
	public static Account tell(AccountMaterial material) {
		List<AccountRecord> events = AccountOrder.sort(material.events());
		List<Account.Gap> gaps = gaps(material, events);
		List<Account.Statement> statements = events.stream()
			.map((event) -> new Account.Statement(event.getEventId(), AccountSentences.time(event.getWallTimeMs()),
					AccountSentences.tell(event), AccountSentences.detail(event)))
			.toList();
		return new Account(summary(material.query(), events, gaps), statements, gaps);
	}

	private static String summary(AccountQuery query, List<AccountRecord> events, List<Account.Gap> gaps) {
		if (events.isEmpty()) {
			return "Nothing is recorded about this" + ((gaps.isEmpty()) ? "." : ", but the account has gaps.");
		}
		if (!isSingle(query)) {
			return count(events.size(), "event", "events") + ((events.size() == 1) ? " is" : " are") + " recorded.";
		}
		AccountRecord end = events.stream()
			.filter((event) -> query.matches(event) && isEnd(event))
			.reduce((first, second) -> second)
			.orElse(null);
		if (end == null) {
			return "No end of this " + query.subjectKind() + " is recorded"
					+ ((gaps.isEmpty()) ? "; it may still be running." : "; the account has gaps.");
		}
		return AccountSentences.tell(end);
	}

	private static boolean isSingle(AccountQuery query) {
		return query.subjectKind().equals("request") || query.subjectKind().equals("item");
	}

	private static boolean isEnd(AccountRecord event) {
		return AccountSentences.codeOf(event).map((code) -> switch (code) {
			case COMPLETED, FAILED, REFUSED, CANCELLED, OUTCOME_UNKNOWN, CLIENT_GONE -> true;
			default -> false;
		}).orElse(false);
	}

	private static List<Account.Gap> gaps(AccountMaterial material, List<AccountRecord> events) {
		List<Account.Gap> gaps = new ArrayList<>();
		if (!material.silentHosts().isEmpty()) {
			gaps.add(new Account.Gap(
					count(material.silentHosts().size(), "host", "hosts")
							+ " did not answer. What was recorded only there is missing.",
					names(material.silentHosts())));
		}
		if (!material.truncatedHosts().isEmpty()) {
			gaps.add(new Account.Gap(
					count(material.truncatedHosts().size(), "host", "hosts")
							+ " no longer kept all older events. Some events may be missing.",
					names(material.truncatedHosts())));
		}
		if (!material.logRead()) {
			gaps.add(new Account.Gap("The log of the platform could not be read."
					+ " What lost or restarted hosts had recorded there is missing.", ""));
		}
		else if (material.logOldestWallMillis() > material.query().fromWallMillis()) {
			gaps.add(new Account.Gap("Records from before " + AccountSentences.time(material.logOldestWallMillis())
					+ " have expired in the log of the platform.", ""));
		}
		addMemoryGap(material, events, gaps);
		addCauseGap(events, gaps);
		return gaps;
	}

	private static void addMemoryGap(AccountMaterial material, List<AccountRecord> events, List<Account.Gap> gaps) {
		boolean begun = events.stream()
			.anyMatch((event) -> event.getCode() == AccountCode.ACCEPTED.getNumber()
					|| isSingle(material.query()) && isEnd(event));
		if (!begun && material.latestStartWallMillis() > material.query().fromWallMillis()) {
			gaps.add(new Account.Gap("Hosts keep most events in memory. The latest start of a host was at "
					+ AccountSentences.time(material.latestStartWallMillis())
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
			gaps.add(new Account.Gap("The cause of " + count(missing.size(), "event", "events")
					+ " is recorded elsewhere and was not found.", names(missing)));
		}
	}

	private static String count(int number, String one, String many) {
		return number + " " + ((number == 1) ? one : many);
	}

	private static String names(List<String> names) {
		return String.join(", ", names);
	}

}
