package org.wigeonglade.core.account;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Formatter that renders an event as a plain sentence for readers without a technical
 * background. A sentence uses only the data of the event; an attribute that is absent is
 * omitted and never guessed.
 */
public final class EventSentences {

	private static final Map<Integer, AccountCode> CODES = Arrays.stream(AccountCode.values())
		.collect(Collectors.toUnmodifiableMap(AccountCode::getNumber, Function.identity()));

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("uuuu-MM-dd HH:mm:ss", Locale.ROOT)
		.withZone(ZoneOffset.UTC);

	private EventSentences() {
	}

	/**
	 * Describes an event without identifiers.
	 * @param event the event, not null
	 * @return one sentence that ends with a full stop
	 */
	public static String describe(AccountRecord event) {
		String subject = describeSubject(event);
		String reason = reason(event);
		AccountCode code = CODES.get(event.getCode());
		if (code == null) {
			return "An event of a kind that this version does not know was recorded for " + subject + ".";
		}
		return switch (code) {
			case ACCEPTED -> capitalize(subject) + workspace(event) + " was accepted" + forService(event) + ".";
			case STARTED -> capitalize(subject) + " was sent to " + describeUpstream(event) + forService(event) + ".";
			case COMPLETED ->
				attribute(event, "outcomes").map((counts) -> "All items of the job have ended: " + counts + ".")
					.orElse(capitalize(subject) + " was answered in full.");
			case FAILED -> capitalize(subject) + " ended without a result" + reason + ".";
			case PREEMPTED ->
				capitalize(subject) + " was stopped to make room for people who were waiting; it continues later.";
			case QUEUED -> capitalize(subject) + " waited for free capacity" + reason + ".";
			case RETRIED -> capitalize(subject) + " was tried again" + reason + ".";
			case REFUSED -> capitalize(subject) + " was refused and was not run" + reason + ".";
			case QUARANTINED ->
				"A request that made engines fail was blocked, so that it cannot harm others" + reason + ".";
			case CANCELLED -> capitalize(subject) + " was cancelled" + reason + ".";
			case TAKEN_OVER -> "A host took over " + subject + reason + ".";
			case HANDED_OVER -> "A host handed over " + subject + reason + ".";
			case CONFIG_ACCEPTED -> "A new configuration was accepted" + author(event) + reason + ".";
			case CONFIG_PROPOSED ->
				"A change of the configuration was written to the log" + author(event) + reason + ".";
			case CONFIG_APPLIED -> "A host started to use a new configuration.";
			case CONFIG_CONFLICT ->
				"A change of the configuration" + author(event) + " was rejected because another change came first.";
			case UPSTREAM_LOST -> capitalize(describeUpstream(event)) + " was lost" + reason + ".";
			case UPSTREAM_LEAVING ->
				capitalize(describeUpstream(event)) + " is leaving and gets no new work" + reason + ".";
			case HOST_LOST -> "An entry host was lost" + reason + ".";
			case HOST_STOPPING -> "An entry host began a planned stop" + reason + ".";
			case PLATFORM_LOST -> "A host can no longer reach the platform" + platformService(event) + ".";
			case PLATFORM_BACK -> "A host can reach the platform again" + platformService(event) + ".";
			case OUTCOME_UNKNOWN -> "It is not known whether " + subject + " ran; it was not run again" + reason + ".";
			case COMMAND_SENT -> "A command was sent to " + describeUpstream(event) + reason + ".";
			case RESUMED -> capitalize(subject) + " continued on another engine where the first one had stopped.";
			case HOST_STARTED -> "An entry host started.";
			case CLIENT_GONE -> "The caller closed the connection before " + subject + " was answered in full.";
		};
	}

	/**
	 * Returns the identifiers and attributes of an event.
	 * @param event the event, not null
	 * @return one line without a line break
	 */
	public static String detail(AccountRecord event) {
		StringBuilder line = new StringBuilder();
		line.append(event.getSubjectKind()).append(' ').append(event.getSubjectId());
		line.append(", host ").append(event.getHost()).append(", event ").append(event.getEventId());
		if (!event.getCauseEventId().isEmpty()) {
			line.append(", caused by ").append(event.getCauseEventId());
		}
		new TreeMap<>(event.getFiguresMap())
			.forEach((key, value) -> line.append(", ").append(key).append('=').append(value));
		return line.toString().replace('\n', ' ').replace('\r', ' ');
	}

	/**
	 * Formats a wall-clock time.
	 * @param wallMillis milliseconds since the epoch
	 * @return the time in UTC, to the second
	 */
	public static String time(long wallMillis) {
		return TIME.format(Instant.ofEpochMilli(wallMillis)) + " UTC";
	}

	static Optional<AccountCode> codeOf(AccountRecord event) {
		return Optional.ofNullable(CODES.get(event.getCode()));
	}

	static String describeSubject(AccountRecord event) {
		return switch (event.getSubjectKind()) {
			case "request" -> "the request";
			case "batch" -> "the job";
			case "item" -> "an item of the job";
			case "upstream" -> describeUpstream(event);
			case "host" -> "the host";
			case "config" -> "the configuration";
			case "partition" -> "a part of the jobs";
			default -> "the work";
		};
	}

	private static String describeUpstream(AccountRecord event) {
		return attribute(event, "kind").filter("plain"::equals).isPresent() ? "a service instance" : "an engine";
	}

	private static String workspace(AccountRecord event) {
		return attribute(event, "workspace").map((name) -> " of workspace " + name).orElse("");
	}

	private static String forService(AccountRecord event) {
		return attribute(event, "service").map((name) -> " for service " + name).orElse("");
	}

	private static String platformService(AccountRecord event) {
		return attribute(event, "service").map((name) -> ", its " + name).orElse("");
	}

	private static String author(AccountRecord event) {
		return attribute(event, "author").map((name) -> " from " + name).orElse("");
	}

	private static String reason(AccountRecord event) {
		return attribute(event, "reason").or(() -> attribute(event, "code").flatMap(EventSentences::describeErrorCode))
			.map((text) -> ": " + text)
			.orElse("");
	}

	// Covers the codes that callers see most.
	private static Optional<String> describeErrorCode(String code) {
		return ErrorCode.find(code).map((known) -> switch (known) {
			case OVERLOADED -> "there was no free capacity in time";
			case NO_UPSTREAM -> "no engine of the service was available";
			case DEADLINE_EXCEEDED -> "its deadline had passed";
			case QUARANTINED -> "it had made engines fail before";
			case STOPPING -> "the host was stopping";
			case UPSTREAM_FAILED, STREAM_INCOMPLETE -> "the engine failed";
			case UPSTREAM_REJECTED -> "the engine rejected it as invalid";
			case PLATFORM_UNAVAILABLE, PLATFORM_UNKNOWN -> "the log of the platform was not available";
			case KEY_REUSED, KEY_IN_PROGRESS -> "its key was already in use";
			default -> "code " + code;
		});
	}

	private static Optional<String> attribute(AccountRecord event, String key) {
		String value = event.getFiguresOrDefault(key, "");
		return (value.isBlank()) ? Optional.empty() : Optional.of(value.replace('\n', ' ').replace('\r', ' '));
	}

	private static String capitalize(String text) {
		return Character.toUpperCase(text.charAt(0)) + text.substring(1);
	}

}
