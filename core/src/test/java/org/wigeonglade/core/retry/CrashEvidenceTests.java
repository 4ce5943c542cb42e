package org.wigeonglade.core.retry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.UpstreamIncarnation;

/**
 * Guards against a cause of crashes that is not found because no two of its requests are
 * alike, and against the quarantine of requests and parts of prompts that were in
 * progress on the same upstreams.
 */
public class CrashEvidenceTests {

	private static final String COMMON = "c0";

	private static final String DEADLY = "dead";

	private int requests;

	@Test
	public void partOfUnlikeRequestsIsQuarantinedWithoutThePartsBesideIt() {
		CrashEvidence evidence = new CrashEvidence();
		for (int crash = 0; crash < CrashEvidence.QUARANTINE_CRASHES; crash++) {
			Assert.assertTrue(evidence.findQuarantine(request(COMMON, DEADLY)).isEmpty());
			evidence.add(report(crash, 0, request(COMMON, DEADLY)), 0);
		}
		Assert.assertTrue(evidence.findQuarantine(request(COMMON, DEADLY)).isPresent());
		Assert.assertTrue(evidence.findQuarantine(request(COMMON, "51")).isEmpty());
		Assert.assertTrue(evidence.findQuarantine(request("52", DEADLY)).isEmpty());
		evidence.add(report(9, 0, request("52", DEADLY)), 0);
		Assert.assertTrue(evidence.findQuarantine(request("53", DEADLY)).isPresent());
	}

	@Test
	public void repeatedRequestIsQuarantinedWithoutItsParts() {
		CrashEvidence evidence = new CrashEvidence();
		List<Fingerprint> repeated = request(COMMON, "51");
		for (int crash = 0; crash < CrashEvidence.QUARANTINE_CRASHES; crash++) {
			evidence.add(report(crash, 0, repeated), 0);
		}
		Assert.assertTrue(evidence.findQuarantine(repeated).isPresent());
		Assert.assertTrue(evidence.findQuarantine(request(COMMON, "51")).isEmpty());
	}

	// Only one of two parts that always come together crashes upstreams.
	@Test(dataProvider = "orders")
	public void partBesideTheDeadlyOneIsServedWhereverItStands(String[] deadlyPrompt, String[] soundPrompt) {
		CrashEvidence evidence = new CrashEvidence();
		for (int crash = 0; crash < CrashEvidence.QUARANTINE_CRASHES; crash++) {
			evidence.add(report(crash, 0, request(deadlyPrompt)), 0);
		}
		Assert.assertTrue(evidence.findQuarantine(request(soundPrompt)).isEmpty());
		evidence.recordServed(request(soundPrompt), 0);
		Assert.assertEquals(evidence.getQuarantines(), Set.of(new Quarantine(Set.of(part(DEADLY)), 3)));
	}

	@DataProvider
	public Object[][] orders() {
		String[] sound = { COMMON, "51" };
		return new Object[][] { { new String[] { COMMON, "51", DEADLY }, sound },
				{ new String[] { COMMON, DEADLY, "51" }, sound }, { new String[] { DEADLY, COMMON, "51" }, sound } };
	}

	// A sound part stands in more lost requests than the deadly one, but was served
	// before.
	@Test
	public void provenPartThatExplainsMoreCrashesIsNotQuarantinedInPlaceOfTheDeadlyOne() {
		CrashEvidence evidence = new CrashEvidence();
		evidence.recordServed(request(COMMON), 0);
		for (int crash = 0; crash < 5; crash++) {
			evidence.add(report(crash, 0, (crash < 3) ? request(COMMON, DEADLY) : request(COMMON)), 0);
			evidence.recordUnreachable(upstream(crash), 0);
		}
		Assert.assertTrue(evidence.findQuarantine(request(COMMON)).isEmpty());
		Assert.assertTrue(evidence.findQuarantine(request(COMMON, DEADLY)).isPresent());
	}

	@Test
	public void crashReportedByManyHostsCountsOnce() {
		CrashEvidence evidence = new CrashEvidence();
		for (int host = 0; host < 5; host++) {
			evidence.add(report(0, 0, request(COMMON, DEADLY)), 0);
		}
		Assert.assertTrue(evidence.findQuarantine(request(COMMON, DEADLY)).isEmpty());
	}

	// Requests wait behind the deadly ones on runners that crash, are retried on other
	// runners and lost again.
	@Test(dataProvider = "seeds")
	public void requestsLostBesideDeadlyOnesAreNotQuarantined(int seed) {
		Random random = new Random(seed);
		CrashEvidence evidence = new CrashEvidence();
		List<List<Fingerprint>> sound = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			sound.add(request(COMMON, "5" + i));
		}
		for (int crash = 0; crash < 6; crash++) {
			evidence.add(report(crash, 0, request(COMMON, DEADLY)), 0);
			Collections.shuffle(sound, random);
			for (List<Fingerprint> request : sound.subList(0, 2)) {
				evidence.add(report(crash, 0, request), 0);
			}
		}
		Assert.assertEquals(evidence.getQuarantines(), Set.of(new Quarantine(Set.of(part(COMMON), part(DEADLY)), 6)));
	}

	@DataProvider
	public Object[][] seeds() {
		Object[][] seeds = new Object[20][];
		for (int i = 0; i < seeds.length; i++) {
			seeds[i] = new Object[] { i };
		}
		return seeds;
	}

	@Test
	public void reportsInAnyOrderLeadToOneVerdict() {
		List<CrashReport> reports = new ArrayList<>();
		for (int crash = 0; crash < 4; crash++) {
			reports.add(report(crash, 0, request(COMMON, DEADLY)));
			reports.add(report(crash, 0, request(COMMON, "5" + crash)));
			reports.add(CrashReport.ofCleared(upstream(crash), 0, List.of(part(COMMON))));
		}
		for (int seed = 0; seed < 20; seed++) {
			Collections.shuffle(reports, new Random(seed));
			CrashEvidence evidence = new CrashEvidence();
			reports.forEach((report) -> evidence.add(report, 0));
			reports.forEach((report) -> Assert.assertFalse(evidence.add(report, 0)));
			Assert.assertEquals(evidence.getQuarantines(), Set.of(new Quarantine(Set.of(part(DEADLY)), 4)));
		}
	}

	@Test
	public void partOfServedRequestIsNotHeldResponsibleForEarlierCrashes() {
		CrashEvidence evidence = new CrashEvidence();
		CrashEvidence peer = new CrashEvidence();
		for (int crash = 0; crash < 5; crash++) {
			CrashReport report = report(crash, 0, request(COMMON));
			evidence.add(report, 0);
			peer.add(report, 0);
		}
		Assert.assertFalse(evidence.findQuarantine(request(COMMON)).isEmpty());
		List<CrashReport> cleared = evidence.recordServed(List.of(part(COMMON)), 0);
		Assert.assertTrue(evidence.findQuarantine(request(COMMON)).isEmpty());
		cleared.forEach((report) -> peer.add(report, 0));
		Assert.assertTrue(peer.findQuarantine(request(COMMON)).isEmpty());
		Assert.assertTrue(evidence.recordServed(List.of(part(COMMON)), 0).isEmpty());
	}

	// While all upstreams fail for another reason, no request can clear the part that all
	// of them have.
	@Test
	public void provenPartIsServedAgainSoonAfterAnOutageOfAllUpstreams() {
		CrashEvidence evidence = new CrashEvidence();
		evidence.recordServed(List.of(part(COMMON)), 0);
		for (int crash = 0; crash < 10; crash++) {
			evidence.add(report(crash, 1_000, request(COMMON)), 1_000);
			evidence.recordUnreachable(upstream(crash), 1_000);
		}
		evidence.expire(1_000 + CrashEvidence.PROVEN_RETENTION_MILLIS);
		Assert.assertFalse(evidence.findQuarantine(request(COMMON)).isEmpty());
		evidence.expire(1_001 + CrashEvidence.PROVEN_RETENTION_MILLIS);
		Assert.assertTrue(evidence.findQuarantine(request(COMMON)).isEmpty());
	}

	// Guards against a part of most requests that stays refused after a restart of all
	// hosts, because only the suspicion outlives them.
	@Test(dataProvider = "knowledge")
	public void provenPartIsServedAgainSoonAfterARestartOfAllHosts(boolean firstReportTells) {
		CrashEvidence before = new CrashEvidence();
		CrashEvidence unknowing = new CrashEvidence();
		before.recordServed(List.of(part(COMMON)), 0);
		for (int crash = 0; crash < 6; crash++) {
			CrashEvidence reporter = (firstReportTells == (crash == 0)) ? before : unknowing;
			before.add(reporter.createReport(upstream(crash), request(COMMON), 1_000), 1_000);
			before.recordUnreachable(upstream(crash), 1_000);
		}
		long end = 1_000 + CrashEvidence.PROVEN_RETENTION_MILLIS;
		CrashEvidence restarted = restart(before, end);
		Assert.assertFalse(restarted.findQuarantine(request(COMMON)).isEmpty());
		restarted.expire(end + 1);
		Assert.assertTrue(restarted.findQuarantine(request(COMMON)).isEmpty());
	}

	@DataProvider
	public Object[][] knowledge() {
		return new Object[][] { { true }, { false } };
	}

	// Guards against a part that was served before and crashes upstreams without end.
	@Test(dataProvider = "restarts")
	public void provenPartThatCrashesUpstreamsAgainIsQuarantinedLongerEachTime(boolean restarted) {
		CrashEvidence evidence = new CrashEvidence();
		evidence.recordServed(List.of(part(COMMON)), 0);
		long now = 1_000;
		for (int crash = 0; crash < CrashEvidence.QUARANTINE_CRASHES; crash++) {
			crash(evidence, crash, now);
		}
		long retention = CrashEvidence.PROVEN_RETENTION_MILLIS;
		for (int crash = 10; crash < 14; crash++) {
			evidence = restarted ? restart(evidence, now) : evidence;
			evidence.expire(now + retention);
			Assert.assertFalse(evidence.findQuarantine(request(COMMON)).isEmpty(), "after crash " + crash);
			now += retention + 1;
			evidence.expire(now);
			Assert.assertTrue(evidence.findQuarantine(request(COMMON)).isEmpty(), "after crash " + crash);
			crash(evidence, crash, now);
			Assert.assertFalse(evidence.findQuarantine(request(COMMON)).isEmpty(), "at crash " + crash);
			retention *= CrashEvidence.PROVEN_RETENTION_GROWTH;
		}
		evidence.recordServed(List.of(part(COMMON)), now);
		Assert.assertTrue(evidence.findQuarantine(request(COMMON)).isEmpty());
	}

	@DataProvider
	public Object[][] restarts() {
		return new Object[][] { { false }, { true } };
	}

	@Test
	public void lostConnectionsAreNotHeldAgainstProvenPart() {
		CrashEvidence evidence = new CrashEvidence();
		evidence.recordServed(List.of(part(COMMON)), 0);
		for (int crash = 0; crash < 10; crash++) {
			evidence.add(report(crash, 0, request(COMMON)), 0);
		}
		Assert.assertTrue(evidence.findQuarantine(request(COMMON)).isEmpty());
	}

	@Test
	public void crashIsRefutedOnlyByRequestsThatWereSentAfterIt() {
		CrashEvidence evidence = new CrashEvidence();
		for (int crash = 0; crash < CrashEvidence.QUARANTINE_CRASHES; crash++) {
			evidence.add(report(crash, 0, request(COMMON, DEADLY)), 100);
		}
		Assert.assertTrue(evidence.recordSurvived(upstream(0), 100, 200).isEmpty());
		Assert.assertFalse(evidence.findQuarantine(request(COMMON, DEADLY)).isEmpty());
		Assert.assertTrue(evidence.recordSurvived(upstream(0), 101, 200).isPresent());
		Assert.assertTrue(evidence.findQuarantine(request(COMMON, DEADLY)).isEmpty());
	}

	@Test
	public void quarantineEndsAfterTheRetentionOfItsCrashes() {
		CrashEvidence evidence = new CrashEvidence();
		for (int crash = 0; crash < CrashEvidence.QUARANTINE_CRASHES; crash++) {
			evidence.add(report(crash, 0, request(COMMON, DEADLY)), 0);
		}
		evidence.expire(CrashEvidence.RETENTION_MILLIS);
		Assert.assertFalse(evidence.findQuarantine(request(COMMON, DEADLY)).isEmpty());
		evidence.expire(CrashEvidence.RETENTION_MILLIS + 1);
		Assert.assertTrue(evidence.findQuarantine(request(COMMON, DEADLY)).isEmpty());
		Assert.assertTrue(evidence.getReports().isEmpty());
	}

	@Test
	public void numberOfRememberedCrashesIsBounded() {
		CrashEvidence evidence = new CrashEvidence();
		for (int crash = 0; crash < CrashEvidence.MAX_CRASHES + 10; crash++) {
			evidence.add(report(crash, 0, request(COMMON, "5" + crash)), 0);
		}
		Assert.assertEquals(evidence.getReports().size(), CrashEvidence.MAX_CRASHES);
	}

	private void crash(CrashEvidence evidence, int crash, long nowMillis) {
		evidence.add(evidence.createReport(upstream(crash), request(COMMON), nowMillis), nowMillis);
		evidence.recordUnreachable(upstream(crash), nowMillis);
	}

	// Returns what a host knows that reads the stored reports.
	private static CrashEvidence restart(CrashEvidence evidence, long nowMillis) {
		CrashEvidence restarted = new CrashEvidence();
		evidence.getReports().forEach((report) -> restarted.add(CrashReport.of(report.toNotice()), nowMillis));
		return restarted;
	}

	private List<Fingerprint> request(String... sharedParts) {
		List<Fingerprint> contents = new ArrayList<>();
		for (String part : sharedParts) {
			contents.add(part(part));
		}
		contents.add(Fingerprint.of("request-" + this.requests++));
		return contents;
	}

	private static Fingerprint part(String id) {
		return Fingerprint.ofPromptPart(id);
	}

	private static CrashReport report(int crash, long nowMillis, List<Fingerprint> suspects) {
		return CrashReport.ofSuspects(upstream(crash), nowMillis, suspects);
	}

	private static UpstreamIncarnation upstream(int crash) {
		return UpstreamIncarnation.of("runner-" + crash % 3, crash);
	}

}
