package org.wigeonglade.cli;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against runs that are counted twice or not at all, and against lost output that
 * is counted as kept.
 */
public class ItemReportTests {

	@DataProvider
	public Object[][] ends() {
		return new Object[][] { { line(3, "a", 4506, ",\"last_event\":9"), "preempted", 10 },
				{ line(3, "a", 4507, ",\"reason\":\"SILENT: no data\",\"last_event\":4"), "failed: SILENT", 5 },
				{ line(3, "a", 4507, ",\"reason\":\"status 500\",\"last_event\":null"), "failed: status 500", 0 },
				{ line(3, "a", 4508, ",\"state\":\"completed\",\"events\":12"), "completed", 12 },
				{ line(3, "a", 4513, ",\"cause\":\"the host stops\",\"last_event\":2"), "cancelled: the host stops",
						3 },
				{ line(3, "a", 1503, ""), ItemRun.HOST_STOPPED, 0 },
				{ line(3, "a", 3507, ""), ItemRun.HOST_KILLED, 0 } };
	}

	@Test(dataProvider = "ends")
	public void runIsCountedByItsEnd(String line, String end, int events) {
		ItemReport report = report(start(1, "a", null), line);
		Assert.assertEquals(report.getEnds().keySet().stream().toList(), List.of(end));
		Assert.assertEquals(report.getEnds().get(end).getRuns(), 1);
		Assert.assertEquals(report.getEnds().get(end).getSeconds(), 2.0, 1e-6);
		Assert.assertEquals(report.getEnds().get(end).getEvents(), events);
	}

	@Test
	public void runOfAKilledHostEndsWithTheLastLineBeforeItsNextStart() {
		ItemReport report = report(start(1, "a", null), line(2.5, "a", 3507, ""), line(9, "a", 1501, ""));
		Assert.assertEquals(report.getEnds().get(ItemRun.HOST_KILLED).getSeconds(), 1.5, 1e-6);
	}

	@Test
	public void outputOfTheHostWithoutTheResultIsLost() {
		ItemReport report = report(start(1, "a", null), line(2, "a", 4506, ",\"last_event\":9"), start(3, "b", null),
				start(4, "a", 9L), line(5, "b", 4508, ",\"state\":\"completed\",\"events\":12"),
				line(6, "a", 4513, ",\"cause\":\"the item has a result\",\"last_event\":11"));
		Assert.assertEquals(report.getAnewElsewhere(), 1);
		Assert.assertEquals(report.getLost().keySet().stream().toList(), List.of("cancelled: the item has a result"));
		ItemReport.Tally lost = report.getLost().get("cancelled: the item has a result");
		Assert.assertEquals(lost.getRuns(), 1);
		Assert.assertEquals(lost.getSeconds(), 3.0, 1e-6);
		Assert.assertEquals(lost.getEvents(), 12);
		Assert.assertEquals(report.countItems(ItemReport::hosts), Map.of(2L, 1L));
		Assert.assertEquals(report.countItems(ItemReport::runs), Map.of(3L, 1L));
	}

	@Test
	public void eventsOfEarlierRunsAreNotCountedAgain() {
		ItemReport report = report(start(1, "a", null), line(2, "a", 4506, ",\"last_event\":9"), start(4, "a", 9L),
				line(5, "a", 4506, ",\"last_event\":11"));
		Assert.assertEquals(report.getEnds().get("preempted").getEvents(), 12);
	}

	@Test
	public void resumedOutputIsNotLost() {
		ItemReport report = report(start(1, "a", null), line(2, "a", 4506, ",\"last_event\":9"), start(4, "a", 9L),
				line(5, "a", 4508, ",\"state\":\"completed\",\"events\":12"));
		Assert.assertTrue(report.getLost().isEmpty());
	}

	@DataProvider
	public Object[][] outcomes() {
		return new Object[][] { { "completed", ",\"due_ms\":0", "in time" }, { "completed", ",\"due_ms\":-1", "late" },
				{ "completed", "", "in time" }, { "given up", ",\"due_ms\":5", "given up" } };
	}

	// A line without due_ms is judged by the due time at the start of the run.
	@Test(dataProvider = "outcomes")
	public void itemIsCountedByItsFirstResult(String state, String due, String outcome) {
		ItemReport report = report(start(1, "a", null),
				line(18, "a", 4508, ",\"state\":\"" + state + "\",\"events\":1" + due),
				line(19, "b", 4508, ",\"state\":\"completed\",\"events\":1,\"due_ms\":-900"));
		Assert.assertEquals(report.getOutcomes().get(outcome), 1L, report.getOutcomes().toString());
		Assert.assertEquals(report.getOutcomes().get("run without a result"), 0L);
	}

	@Test
	public void linesAsHostsWriteThemAreRead() {
		ItemLog log = new ItemLog();
		log.add("a.log", Stream.of(unprefixed(start(1, "x", null)), "no event", "{\"event\":\"WGE-4505\",\"time\":",
				unprefixed(line(2, "x", 4506, ",\"last_event\":9"))));
		ItemReport report = new ItemReport(log.replay());
		Assert.assertEquals(log.getRuns().getFirst().host(), "a.log");
		Assert.assertEquals(report.getEnds().get("preempted").getSeconds(), 1.0, 1e-6);
		Assert.assertTrue(report.toLines().stream().anyMatch((text) -> text.startsWith("2026-04-28T04:52:01Z")));
	}

	@Test
	public void figuresAreSplitByDomainAndSecond() {
		ItemReport report = report("0 a {\"event\":\"WGE-1501\",\"figures\":{\"host\":\"a\",\"domain\":\"zone-a\"}}",
				start(1.5, "a", null), line(3, "a", 4506, ",\"last_event\":9"));
		JsonObject json = report.toJson();
		Assert.assertEquals(json.getJsonObject("domains").getJsonObject("zone-a").getInteger("preempted"), 1);
		Assert.assertEquals(json.getJsonObject("seconds").getJsonObject("1").getDouble("slot_s"), 0.5, 1e-6);
		Assert.assertEquals(json.getJsonObject("seconds").getJsonObject("2").getDouble("slot_s"), 1.0, 1e-6);
		Assert.assertEquals(json.getJsonObject("seconds").getJsonObject("3").getInteger("preempted"), 1);
	}

	private static ItemReport report(String... lines) {
		ItemLog log = new ItemLog();
		log.add("collected", Stream.of(lines));
		return new ItemReport(log.replay());
	}

	private static String start(double second, String host, Long resumeAfter) {
		return line(second, host, 4505, ",\"resume_after\":" + resumeAfter + ",\"due_ms\":17500");
	}

	private static String line(double second, String host, int event, String figures) {
		return "%7.4f %s {\"time\":\"2026-04-28T04:52:%06.3fZ\",\"event\":\"WGE-%d\",\"figures\":{\"job\":\"j\",\"item\":\"i\"%s}}"
			.formatted(second, host, second, event, figures);
	}

	private static String unprefixed(String line) {
		return line.substring(line.indexOf('{'));
	}

}
