package org.wigeonglade.core.config;

import java.util.List;
import java.util.function.Consumer;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Guards against a published configuration with dangling references or contradicting
 * values, and against violations that do not name their JSON pointer.
 */
public class ConfigurationChecksTests {

	@Test
	void validConfigurationHasNoViolations() {
		Assert.assertEquals(ConfigurationChecks.check(validConfiguration()), List.of());
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] {
				{ "/services/0/profile", (Mutation) (c) -> c.getServices().get(0).setProfile("absent") },
				{ "/services/0/batchProfile", (Mutation) (c) -> c.getServices().get(0).setBatchProfile("counter") },
				{ "/services/1/models", (Mutation) (c) -> c.getServices().get(1).setModels(List.of(model("a"))) },
				{ "/services/0/models/1/name",
						(Mutation) (c) -> c.getServices().get(0).setModels(List.of(model("a"), model("a"))) },
				{ "/services/1/name", (Mutation) (c) -> c.getServices().get(1).setName("runokieli") },
				{ "/profiles/1/name", (Mutation) (c) -> c.getProfiles().get(1).setName("counter") },
				{ "/profiles/0/maxQueueMs", (Mutation) (c) -> c.getProfiles().get(0).setDeadlineMs(10) },
				{ "/workspaces/1/keyHashes/0",
						(Mutation) (c) -> c.getWorkspaces().get(1).setKeyHashes(List.of("0".repeat(64))) },
				{ "/workspaces/0/services/0", (Mutation) (c) -> c.getWorkspaces().get(0).setServices(List.of("x")) } };
	}

	@Test(dataProvider = "faults")
	void violationNamesItsJsonPointer(String pointer, Mutation mutation) {
		FleetConfiguration body = validConfiguration();
		mutation.accept(body);
		List<String> pointers = ConfigurationChecks.check(body).stream().map(ConfigurationViolation::pointer).toList();
		Assert.assertTrue(pointers.contains(pointer), pointers.toString());
	}

	@Test
	void partitionsMustNotChangeAfterTheFirstVersion() {
		FleetConfiguration more = validConfiguration().withBudgets(new BudgetConfiguration().withPartitions(64));
		Assert.assertEquals(ConfigurationChecks.checkChange(more, new VersionedConfiguration(0, validConfiguration())),
				List.of());
		Assert.assertEquals(
				ConfigurationChecks.checkChange(more, new VersionedConfiguration(1, validConfiguration())).size(), 1);
	}

	private static FleetConfiguration validConfiguration() {
		return new FleetConfiguration()
			.withProfiles(
					List.of(profile("counter", Profile.Priority.ONLINE), profile("night", Profile.Priority.BATCH)))
			.withServices(List.of(
					new ServiceConfiguration().withName("runokieli")
						.withKind(ServiceConfiguration.Kind.MODEL)
						.withProfile("counter")
						.withBatchProfile("night")
						.withModels(List.of(model("runo"))),
					new ServiceConfiguration().withName("kortti")
						.withKind(ServiceConfiguration.Kind.PLAIN)
						.withProfile("counter")))
			.withWorkspaces(List.of(
					new WorkspaceConfiguration().withName("w1")
						.withKeyHashes(List.of("0".repeat(64)))
						.withServices(List.of("runokieli")),
					new WorkspaceConfiguration().withName("w2").withKeyHashes(List.of("1".repeat(64)))));
	}

	private static Profile profile(String name, Profile.Priority priority) {
		return new Profile().withName(name)
			.withWords("Someone waits at a counter.")
			.withPriority(priority)
			.withIdempotent(true);
	}

	private static ModelConfiguration model(String name) {
		return new ModelConfiguration().withName(name).withVersion("1");
	}

	private interface Mutation extends Consumer<FleetConfiguration> {

	}

}
