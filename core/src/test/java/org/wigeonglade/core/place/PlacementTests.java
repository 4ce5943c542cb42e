package org.wigeonglade.core.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.quicktheories.QuickTheory;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.log.PlacementClaim;
import org.wigeonglade.schema.generated.log.PlacementState;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;

/**
 * Guards against two holders of one placement lease, a version change that takes more
 * runners out of service than the floor permits, and loads beyond the rate of the weight
 * store.
 */
public class PlacementTests {

	private static final long SEED = 20_260_103L;

	private static final PlacementKey KEY = new PlacementKey(ServiceName.of("runokieli"), FailureDomain.of("fi-a"));

	@Test
	void firstClaimOfATermWinsAndRecordsOfOthersAreIgnored() {
		PlacementReplay state = PlacementReplay.start()
			.plus(0, claim("a", 1))
			.plus(1, claim("b", 1))
			.plus(2, state("b", 1))
			.plus(3, claim("b", 2))
			.plus(4, state("a", 1));
		Assert.assertTrue(state.get(KEY).isHeldBy("b", 1));
		Assert.assertEquals(state.get(KEY).term(), 2);
		Assert.assertEquals(state.get(KEY).offset(), 3);
	}

	@Test
	void holderIsReadFromItsStateRecordAfterTheClaimExpired() {
		PlacementReplay state = PlacementReplay.start().withOldest(7).plus(7, state("a", 3)).plus(8, state("b", 2));
		Assert.assertTrue(state.get(KEY).isHeldBy("a", 1));
	}

	@Test
	void holderStopsCommandsBeforeAnotherHostMayClaim() {
		PlacementLeaseTiming timing = PlacementLeaseTiming.defaults();
		QuickTheory.qt()
			.withFixedSeed(SEED)
			.withExamples(2000)
			.forAll(SourceDSL.longs().between(0, 60_000), SourceDSL.longs().between(0, 5000),
					SourceDSL.integers().between(-15, 15))
			.checkAssert((now, readDelay, driftPercent) -> {
				// The other host reads the record after its append began, on a clock that
				// runs faster or slower.
				long elapsedAtOther = (now - readDelay) * (100 + driftPercent) / 100;
				boolean commandInFlight = timing.mayCommand(now - timing.commandDelay().toMillis(), 0);
				Assert.assertFalse(commandInFlight && timing.mayClaim(elapsedAtOther, 0, false, false),
						now + " " + readDelay + " " + driftPercent);
			});
	}

	@Test
	void versionChangeKeepsReadyRunnersAtTheFloor() {
		QuickTheory.qt()
			.withFixedSeed(SEED)
			.withExamples(300)
			.forAll(SourceDSL.integers().between(1, 12), SourceDSL.integers().between(0, 12),
					SourceDSL.integers().between(0, 1000))
			.checkAssert(PlacementTests::checkFloor);
	}

	private static void checkFloor(int count, int floor, int seed) {
		List<ModelConfiguration> models = List.of(model("runo", "2"));
		List<UpstreamId> runners = runners(count);
		Map<UpstreamId, RunnerObservation> observed = new TreeMap<>();
		runners.forEach((r) -> observed.put(r, new RunnerObservation("runo", "1", false, 0)));
		Random random = new Random(seed);
		for (int round = 0; round < 200; round++) {
			Map<UpstreamId, ModelConfiguration> assigned = PlacementPlan.plan(models, runners, Map.of(), Map.of());
			PlacementCommands commands = PlacementCommands.next(5, assigned, observed, floor, random.nextInt(4));
			commands.loads().forEach((r) -> observed.put(r, new RunnerObservation("runo", "2", true, 5)));
			commands.confirms().forEach((r) -> observed.put(r, new RunnerObservation("runo", "2", false, 5)));
			long ready = observed.values().stream().filter((o) -> !o.loading()).count();
			Assert.assertTrue(ready >= Math.min(floor, count), ready + " of " + count + " ready, floor " + floor);
			observed.replaceAll((r, o) -> (o.loading() && random.nextBoolean())
					? new RunnerObservation(o.model(), o.version(), false, o.term()) : o);
		}
		long changed = observed.values().stream().filter((o) -> o.version().equals("2")).count();
		Assert.assertEquals(changed, (floor < count) ? count : 0);
	}

	@Test
	void runnersKeepTheirModelAndFollowDemand() {
		List<ModelConfiguration> models = List.of(model("a", "1"), model("b", "1"));
		List<UpstreamId> runners = runners(8);
		Map<UpstreamId, String> serving = new HashMap<>();
		runners.forEach((r) -> serving.put(r, "b"));
		Map<UpstreamId, ModelConfiguration> plan = PlacementPlan.plan(models, runners, Map.of("a", 1.0, "b", 3.0),
				serving);
		Assert.assertEquals(plan.values().stream().filter((m) -> m.getName().equals("a")).count(), 2);
		Map<UpstreamId, String> next = new HashMap<>();
		plan.forEach((r, m) -> next.put(r, m.getName()));
		Assert.assertEquals(PlacementPlan.plan(models, runners, Map.of("a", 1.0, "b", 3.0), next), plan);
	}

	@Test
	void loadsOfAllHoldersStayWithinTheRateOfTheWeightStore() {
		int holders = 6;
		List<LoadPacer> pacers = IntStream.range(0, holders).mapToObj((i) -> new LoadPacer(0)).toList();
		int loads = 0;
		for (long now = 0; now <= 600_000; now += 500) {
			for (LoadPacer pacer : pacers) {
				int permits = pacer.getPermits(now, 30, holders);
				pacer.take(permits);
				loads += permits;
			}
		}
		Assert.assertTrue(loads <= 30 * 10 + holders && loads >= 290, "loads " + loads);
	}

	private static List<UpstreamId> runners(int count) {
		return IntStream.range(0, count).mapToObj((i) -> UpstreamId.of("r" + i)).toList();
	}

	private static ModelConfiguration model(String name, String version) {
		return new ModelConfiguration().withName(name).withVersion(version);
	}

	private static LogRecord claim(String host, long term) {
		return LogRecord.newBuilder()
			.setHost(host)
			.setIncarnation(1)
			.addEntries(LogEntry.newBuilder()
				.setPlacementClaim(PlacementClaim.newBuilder()
					.setService("runokieli")
					.setFailureDomain("fi-a")
					.setTerm(term)
					.setHost(host)
					.setIncarnation(1)))
			.build();
	}

	private static LogRecord state(String host, long term) {
		return LogRecord.newBuilder()
			.setHost(host)
			.setIncarnation(1)
			.addEntries(LogEntry.newBuilder()
				.setPlacementState(
						PlacementState.newBuilder().setService("runokieli").setFailureDomain("fi-a").setTerm(term)))
			.build();
	}

}
