package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.engine.EngineCommand;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.place.RunnerObservation;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;

/**
 * Guards against commands of two holders, of a holder that was paused, and of none.
 */
public class PlacementFleetTests {

	private static final int RUNNERS = 4;

	private final Map<String, RunnerObservation> engines = new TreeMap<>();

	private final List<Given> given = new ArrayList<>();

	@DataProvider
	Object[][] checksTerm() {
		return new Object[][] { { true }, { false } };
	}

	@Test(dataProvider = "checksTerm")
	void pausedHolderGivesNoEffectiveCommandAfterItsSuccessor(boolean checksTerm) {
		SimulatedFleet fleet = newFleet(checksTerm);
		fleet.run(Duration.ofSeconds(60));
		HostId first = last().host();
		Assert.assertEquals(count((o) -> o.version().equals("1")), RUNNERS);
		fleet.pause(first, true);
		fleet.run(Duration.ofSeconds(60));
		HostId second = last().host();
		Assert.assertNotEquals(second, first);
		fleet.pause(first, false);
		this.engines.replaceAll((r, o) -> new RunnerObservation("runo", "other", false, o.term()));
		fleet.run(Duration.ofSeconds(60));
		Assert.assertEquals(count((o) -> o.version().equals("1")), RUNNERS);
		for (int i = 1; i < this.given.size(); i++) {
			Assert.assertTrue(this.given.get(i).term() >= this.given.get(i - 1).term(),
					"a command of an old term took effect: " + this.given);
		}
	}

	@Test(dataProvider = "checksTerm")
	void holderWithoutTheLogStopsBeforeItsSuccessorBegins(boolean checksTerm) {
		SimulatedFleet fleet = newFleet(checksTerm);
		fleet.run(Duration.ofSeconds(60));
		HostId first = last().host();
		fleet.getPlatform().setUnreachable(first, true);
		fleet.forEachOther(first.value(), (other) -> {
			fleet.getNetwork().cut(first, other);
			fleet.getNetwork().cut(other, first);
		});
		for (int i = 0; i < 120; i++) {
			// Every runner is always wrong, so that every holder has commands to give.
			this.engines.replaceAll((r, o) -> new RunnerObservation("runo", "other", false, o.term()));
			fleet.run(Duration.ofMillis(500));
		}
		long lastOfFirst = this.given.stream()
			.filter((g) -> g.host().equals(first))
			.mapToLong(Given::at)
			.max()
			.orElseThrow();
		long firstOfSecond = this.given.stream()
			.filter((g) -> !g.host().equals(first))
			.mapToLong(Given::at)
			.min()
			.orElseThrow();
		Assert.assertTrue(firstOfSecond - lastOfFirst >= ((checksTerm) ? 0 : 5000),
				(firstOfSecond - lastOfFirst) + " ms between the holders");
	}

	@Test
	void plannedStopHandsOverWithoutTheLease() {
		SimulatedFleet fleet = newFleet(true);
		fleet.run(Duration.ofSeconds(60));
		HostId first = last().host();
		fleet.get(first.value()).announceStop();
		this.engines.replaceAll((r, o) -> new RunnerObservation("runo", "other", false, o.term()));
		fleet.run(Duration.ofSeconds(5));
		Assert.assertNotEquals(last().host(), first);
	}

	private SimulatedFleet newFleet(boolean checksTerm) {
		this.engines.clear();
		this.given.clear();
		ServiceConfiguration service = new ServiceConfiguration().withName("runokieli")
			.withKind(ServiceConfiguration.Kind.MODEL)
			.withProfile("p")
			.withModels(List.of(new ModelConfiguration().withName("runo").withVersion("1")))
			.withFloorPerDomain(1)
			.withEnginesCheckTerm(checksTerm);
		FleetConfiguration body = new FleetConfiguration()
			.withProfiles(List.of(new Profile().withName("p").withIdempotent(true)))
			.withServices(List.of(service))
			.withWorkspaces(List.of());
		SimulatedFleet[] fleet = new SimulatedFleet[1];
		fleet[0] = new SimulatedFleet(3, body, (host) -> new Targets(host, checksTerm, () -> fleet[0].getMillis()));
		for (int i = 0; i < RUNNERS; i++) {
			fleet[0].getPlatform()
				.list(new ListedHost("r" + i, HostRole.RUNNER, "10.0.0.9:" + i, "fi-a", "fi", "runokieli",
						List.of("runo"), 1, false));
			this.engines.put("r" + i, new RunnerObservation("runo", "0", false, 0));
		}
		fleet[0].run(Duration.ofSeconds(2));
		fleet[0].publish("h0", 0, "ana");
		return fleet[0];
	}

	private Given last() {
		return this.given.getLast();
	}

	private long count(Predicate<RunnerObservation> wanted) {
		return this.engines.values().stream().filter(wanted).count();
	}

	private record Given(HostId host, long term, long at) {

	}

	private final class Targets implements PlacementTargets {

		private final HostId host;

		private final boolean checksTerm;

		private final LongSupplier clock;

		private Targets(HostId host, boolean checksTerm, LongSupplier clock) {
			this.host = host;
			this.checksTerm = checksTerm;
			this.clock = clock;
		}

		@Override
		public Uni<Void> command(UpstreamMember runner, EngineCommand command) {
			RunnerObservation before = PlacementFleetTests.this.engines.get(runner.id().value());
			if (this.checksTerm && command.term() < before.term()) {
				return Uni.createFrom()
					.failure(new UpstreamException(ErrorCode.COMMAND_FENCED, ExecutionState.NOT_RUN, false, "stale",
							null));
			}
			long term = (this.checksTerm) ? command.term() : 0;
			PlacementFleetTests.this.engines.put(runner.id().value(),
					new RunnerObservation(command.model(), command.modelVersion(), false, term));
			PlacementFleetTests.this.given.add(new Given(this.host, command.term(), this.clock.getAsLong()));
			return Uni.createFrom().voidItem();
		}

		@Override
		public Uni<RunnerObservation> observe(UpstreamMember runner) {
			return Uni.createFrom().item(PlacementFleetTests.this.engines.get(runner.id().value()));
		}

	}

}
