package org.wigeonglade.core.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.quicktheories.QuickTheory;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.ManualTicker;
import org.wigeonglade.schema.generated.log.AccountRecord;

/**
 * Guards against an account that states what no event contains, that puts an effect
 * before its cause, or that does not mention missing events.
 */
public class AccountBuilderTests {

	private static final long START = 1_767_225_600_000L;

	private static final AccountQuery REQUEST = AccountQuery.of("request", "req-1");

	private final ManualTicker ticker = ManualTicker.startingAt(START);

	@Test
	public void eachStatementIsBuiltFromItsEvent() {
		AccountEventBuffer buffer = createBuffer(100);
		String accepted = buffer.record(AccountCode.ACCEPTED, "request", "req-1", null,
				Map.of("service", "runokieli", "workspace", "muistopuu"));
		String started = buffer.record(AccountCode.STARTED, "request", "req-1", accepted, Map.of("upstream", "r-1"));
		String lost = buffer.record(AccountCode.UPSTREAM_LOST, "upstream", "r-1", null,
				Map.of("reason", "connection lost"));
		buffer.record(AccountCode.RETRIED, "request", "req-1", lost, Map.of("attempt", "2"));
		buffer.record(AccountCode.COMPLETED, "request", "req-1", started, Map.of("tokens", "12"));
		buffer.record(AccountCode.COMPLETED, "request", "req-2", null, Map.of());
		Account account = AccountBuilder.build(input(buffer.find(REQUEST).events(), List.of()));
		Assert.assertEquals(account.statements().stream().map(Account.Statement::sentence).toList(),
				List.of("The request of workspace muistopuu was accepted for service runokieli.",
						"The request was sent to an engine.", "An engine was lost: connection lost.",
						"The request was tried again.", "The request was answered in full."));
		Assert.assertEquals(account.summary(), "The request was answered in full.");
		Assert.assertEquals(account.gaps(), List.of());
		Assert.assertTrue(account.statements().get(4).detail().contains("tokens=12"));
		Assert.assertFalse(account.statements().stream().anyMatch((s) -> s.sentence().contains("req-1")));
	}

	@Test
	public void everyCodeHasSentence() {
		for (AccountCode code : AccountCode.values()) {
			AccountRecord event = AccountRecord.newBuilder().setCode(code.getNumber()).setSubjectKind("item").build();
			String sentence = EventSentences.describe(event);
			Assert.assertTrue(sentence.endsWith(".") && !sentence.contains("does not know"), sentence);
		}
		Assert.assertTrue(
				EventSentences.describe(AccountRecord.newBuilder().setCode(9999).build()).contains("does not know"));
	}

	@Test
	public void unresponsiveHostIsReportedAsGap() {
		AccountEventBuffer buffer = createBuffer(10);
		buffer.record(AccountCode.ACCEPTED, "request", "req-1", null, Map.of());
		Account account = AccountBuilder.build(input(buffer.find(REQUEST).events(), List.of("entry-2")));
		Assert.assertEquals(account.summary(), "No end of this request is recorded; the account has gaps.");
		Assert.assertEquals(account.gaps(),
				List.of(new Account.Gap("1 host did not answer. What was recorded only there is missing.", "entry-2")));
	}

	@Test
	public void unreadableLogExpiredLogRestartAndMissingCauseAreReportedAsGaps() {
		AccountRecord event = AccountRecord.newBuilder()
			.setEventId("entry-1:1:5")
			.setCauseEventId("entry-9:1:1")
			.setCode(AccountCode.RETRIED.getNumber())
			.build();
		Account unread = AccountBuilder
			.build(new AccountInput(REQUEST, List.of(event), List.of(), List.of("entry-3"), START, false, 0));
		Assert.assertEquals(unread.gaps().size(), 4);
		Assert.assertTrue(unread.gaps().get(3).detail().contains("entry-9:1:1"));
		Account expired = AccountBuilder
			.build(new AccountInput(REQUEST, List.of(), List.of(), List.of(), 0, true, START));
		Assert.assertTrue(expired.gaps().get(0).sentence().contains("2026-01-01 00:00:00 UTC have expired"));
		Assert.assertEquals(expired.summary(), "Nothing is recorded about this, but the account has gaps.");
	}

	@Test
	public void fullBufferDropsOldestEventsAndReportsTruncation() {
		AccountEventBuffer buffer = createBuffer(3);
		List<AccountRecord> durable = new ArrayList<>();
		buffer.setDurableSink(durable::add);
		for (int i = 0; i < 5; i++) {
			this.ticker.advance(Duration.ofSeconds(1));
			buffer.record((i == 0) ? AccountCode.HOST_LOST : AccountCode.ACCEPTED, "request", "req-1", null, Map.of());
		}
		Assert.assertEquals(buffer.getDropped(), 2);
		Assert.assertTrue(buffer.find(REQUEST).truncated());
		Assert.assertEquals(buffer.find(REQUEST).events().size(), 3);
		Assert.assertEquals(durable.size(), 1);
		AccountQuery later = new AccountQuery("period", "", this.ticker.wallMillis(), Long.MAX_VALUE);
		Assert.assertFalse(buffer.find(later).truncated());
	}

	@Test
	public void causesPrecedeEffectsDespiteClockSkew() {
		QuickTheory.qt()
			.withFixedSeed(7)
			.withExamples(500)
			.forAll(SourceDSL.integers().between(1, 60), SourceDSL.longs().all())
			.check((size, seed) -> causesPrecedeEffects(size, new Random(seed)));
	}

	private boolean causesPrecedeEffects(int size, Random random) {
		List<AccountRecord> events = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			int cause = random.nextInt(i + 1) - 1;
			events.add(AccountRecord.newBuilder()
				.setEventId("h:1:" + i)
				.setCauseEventId((cause < 0) ? "" : "h:1:" + cause)
				.setWallTimeMs(random.nextInt(1000))
				.build());
		}
		List<AccountRecord> shuffled = new ArrayList<>(events);
		shuffled.addAll(events.subList(0, size / 2));
		Collections.shuffle(shuffled, random);
		Map<String, Integer> position = new HashMap<>();
		CausalOrder.sort(shuffled).forEach((event) -> position.put(event.getEventId(), position.size()));
		return position.size() == size && events.stream()
			.allMatch((e) -> e.getCauseEventId().isEmpty()
					|| position.get(e.getCauseEventId()) < position.get(e.getEventId()));
	}

	@Test(expectedExceptions = InvalidRequestException.class)
	public void unknownKindIsRejected() {
		AccountQuery.of("engine", "r-1");
	}

	private AccountEventBuffer createBuffer(int capacity) {
		return AccountEventBuffer.create(HostId.of("entry-1"), 1, this.ticker, capacity);
	}

	private static AccountInput input(List<AccountRecord> events, List<String> unresponsive) {
		return new AccountInput(REQUEST, events, unresponsive, List.of(), START, true, 0);
	}

}
