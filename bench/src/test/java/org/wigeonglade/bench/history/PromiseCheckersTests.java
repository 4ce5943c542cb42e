package org.wigeonglade.bench.history;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.bench.history.HistoryEntry.ConfigAccepted;
import org.wigeonglade.bench.history.HistoryEntry.ConfigSeen;
import org.wigeonglade.bench.history.HistoryEntry.EngineWork;
import org.wigeonglade.bench.history.HistoryEntry.HostStop;
import org.wigeonglade.bench.history.HistoryEntry.JobAccepted;
import org.wigeonglade.bench.history.HistoryEntry.JobCancelled;
import org.wigeonglade.bench.history.HistoryEntry.JobResults;
import org.wigeonglade.bench.history.HistoryEntry.OnlineCall;
import org.wigeonglade.bench.history.HistoryEntry.ServiceCall;
import org.wigeonglade.bench.history.HistoryEntry.ServiceRun;
import org.wigeonglade.bench.history.HistoryEntry.UpstreamLeaving;

/**
 * Guards against checkers that pass everything: each planted violation must be found by
 * the checker of its promise and by no other.
 */
public class PromiseCheckersTests {

	private static final JobAccepted JOB = new JobAccepted("b1", "k1", Map.of("i1", "batch one", "i2", "batch two"),
			Map.of("i1", "r1", "i2", "r2"), ms(10));

	private static final JobResults FINAL = new JobResults("b1", Map.of("i1", List.of("r1"), "i2", List.of("r2")), true,
			ms(9000));

	private static final List<HistoryEntry> KEPT = List.of(JOB,
			new JobAccepted("b1", "k1", JOB.prompts(), JOB.expected(), ms(20)),
			new JobResults("b1", Map.of("i2", List.of("r2")), false, ms(100)), FINAL,
			online("h1", "p1", 0, 50, true, "e", "", ""), online("h1", "p2", 0, 50, false, "", "WG-4002", "not_run"),
			online("h2", "p3", 8000, 8100, false, "", "unreachable", "not_run"), work("r1", "QUEUED", "p1", 1),
			work("r1", "STARTED", "p1", 2), work("r1", "COMPLETED", "p1", 40), work("r1", "STARTED", "batch one", 60),
			new ServiceCall("h1", "s1", ms(0), ms(9), 0, ""),
			new ServiceCall("h2", "s1", ms(10), ms(19), 503, "not_run"), work("r5", "STARTED", "batch two", 5),
			work("r6", "QUEUED", "p6", 10), work("r6", "STARTED", "batch two", 11),
			work("r6", "CANCELLED", "batch two", 12), work("r6", "STARTED", "p6", 13),
			new ServiceRun("svc", "s1", ms(5)), new UpstreamLeaving("r1", ms(100)), work("r1", "QUEUED", "p9", 3000),
			new HostStop("h2", ms(7000), ms(7500)), new ConfigAccepted(2, ms(100)), new ConfigSeen("h1", 1, ms(7000)),
			new ConfigSeen("h1", 2, ms(7200)), new HistoryEntry.Fault("none", ms(1)));

	@DataProvider
	Object[][] planted() {
		return new Object[][] { { "P1", new JobResults("b1", Map.of("i1", List.of("r1")), true, ms(9500)), 2 },
				{ "P1", new JobResults("b1", Map.of("i1", List.of("r1", "r1"), "i2", List.of("r2")), true, ms(8000)),
						1 },
				{ "P1", new JobResults("b1", Map.of("i1", List.of("!WG-4004"), "i2", List.of("r2")), true, ms(9500)),
						1 },
				{ "P1", new JobResults("b1", Map.of("i1", List.of("r1"), "i2", List.of("r1")), true, ms(50)), 3 },
				{ "P1", new JobAccepted("b2", "k1", JOB.prompts(), JOB.expected(), ms(30)), 1 },
				{ "P2", new JobCancelled("b1", ms(20)), 1, work("r2", "STARTED", "batch two", 3100) },
				{ "P3", work("r1", "QUEUED", "p4", 55), 1, work("r1", "STARTED", "p4", 65) },
				{ "P3", work("r5", "QUEUED", "p5", 10), 1, work("r5", "STARTED", "p5", 61) },
				{ "P3", work("r5", "QUEUED", "p5", 10), 0, work("r5", "STARTED", "p5", 59) },
				{ "P4", online("h1", "p5", 0, 50, true, "other", "", ""), 1 },
				{ "P4", online("h1", "p5", 0, 50, false, "", "", ""), 1 }, { "P5", work("r3", "STARTED", "p2", 20), 1 },
				{ "P5", new ServiceCall("h1", "s1", ms(4), ms(9), 503, "not_run"), 1 },
				{ "P6", new ServiceRun("svc", "s1", ms(40)), 1 }, { "P7", work("r1", "QUEUED", "p6", 3200), 1 },
				{ "P8", online("h2", "p7", 6900, 7400, false, "", "connection_lost", ""), 1 },
				{ "P9", new ConfigSeen("h1", 1, ms(7250)), 2 }, { "P9", new ConfigSeen("h2", 1, ms(7250)), 1 },
				{ "P9", new ConfigAccepted(2, ms(7100)), 1 } };
	}

	@Test
	void aHistoryThatKeepsThePromisesHasNoViolation() {
		Assert.assertEquals(PromiseCheckers.checkAll(new History(1, KEPT)), List.of());
	}

	@Test(dataProvider = "planted")
	void findsThePlantedViolation(Object... row) {
		List<HistoryEntry> entries = new ArrayList<>(KEPT);
		entries.add((HistoryEntry) row[1]);
		if (row.length > 3) {
			entries.add((HistoryEntry) row[3]);
		}
		List<Violation> violations = PromiseCheckers.checkAll(new History(42, entries));
		Assert.assertEquals(violations.size(), row[2], violations.toString());
		for (Violation violation : violations) {
			Assert.assertEquals(violation.promise(), row[0], violations.toString());
			Assert.assertTrue(violation.toString().contains("seed 42"));
		}
	}

	@Test
	void aWrittenHistoryReadsBackEqual() throws Exception {
		Path file = Files.createTempFile("history", ".jsonl");
		History history = new History(7, KEPT);
		history.write(file);
		Assert.assertEquals(History.read(file), history);
		Files.delete(file);
	}

	private static OnlineCall online(String host, String prompt, long sent, long end, boolean whole, String text,
			String error, String ran) {
		return new OnlineCall(host, prompt, "e", ms(sent), ms(end), (error.isEmpty()) ? 200 : 0, whole, text, error,
				ran);
	}

	private static EngineWork work(String engine, String kind, String prompt, long millis) {
		return new EngineWork(engine, kind, "req-" + prompt, prompt, ms(millis));
	}

	private static long ms(long millis) {
		return millis * 1_000_000;
	}

}
