package org.wigeonglade.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Validates what a JSON Schema cannot express: references between the parts of a
 * configuration, and values that must not change between versions.
 */
public final class ConfigurationChecks {

	private final List<ConfigurationViolation> violations = new ArrayList<>();

	private final FleetConfiguration body;

	private ConfigurationChecks(FleetConfiguration body) {
		this.body = body;
	}

	/**
	 * Checks a configuration.
	 * @param body the configuration, valid by its schema
	 * @return the violations in document order, empty if there is none
	 */
	public static List<ConfigurationViolation> check(FleetConfiguration body) {
		ConfigurationChecks checks = new ConfigurationChecks(body);
		checks.checkProfiles();
		checks.checkServices();
		checks.checkWorkspaces();
		return List.copyOf(checks.violations);
	}

	/**
	 * Checks a configuration and whether it may replace the one in force.
	 * @param body the configuration, valid by its schema
	 * @param current the configuration in force
	 * @return the violations, empty if there is none
	 */
	public static List<ConfigurationViolation> checkChange(FleetConfiguration body, VersionedConfiguration current) {
		List<ConfigurationViolation> all = new ArrayList<>(check(body));
		int before = getPartitions(current.body());
		int after = getPartitions(body);
		// Idempotency keys and batch ids are mapped to partitions by this number.
		if (current.version() > 0 && before != after) {
			all.add(new ConfigurationViolation("/budgets/partitions", String.valueOf(after),
					before + ", because the partition of an accepted job depends on this number"));
		}
		return all;
	}

	/**
	 * Throws if there are violations; the message has a line for each.
	 * @param violations the violations, not null
	 * @throws InvalidRequestException with code {@link ErrorCode#CONFIG_INVALID}
	 */
	public static void throwIfAny(List<ConfigurationViolation> violations) {
		if (!violations.isEmpty()) {
			throw new InvalidRequestException(ErrorCode.CONFIG_INVALID,
					violations.stream().map(ConfigurationViolation::toString).collect(Collectors.joining("\n")));
		}
	}

	private void checkProfiles() {
		List<Profile> profiles = this.body.getProfiles();
		checkUnique("/profiles", profiles.stream().map(Profile::getName).toList());
		for (int i = 0; i < profiles.size(); i++) {
			Profile profile = profiles.get(i);
			if (profile.getMaxQueueMs() > profile.getDeadlineMs()) {
				addViolation("/profiles/" + i + "/maxQueueMs", profile.getMaxQueueMs(),
						"at most deadlineMs, which is " + profile.getDeadlineMs());
			}
		}
	}

	private void checkServices() {
		Map<String, Profile.Priority> priorities = new TreeMap<>();
		this.body.getProfiles().forEach((p) -> priorities.put(p.getName(), p.getPriority()));
		List<ServiceConfiguration> services = this.body.getServices();
		checkUnique("/services", services.stream().map(ServiceConfiguration::getName).toList());
		for (int i = 0; i < services.size(); i++) {
			ServiceConfiguration service = services.get(i);
			String pointer = "/services/" + i;
			if (!priorities.containsKey(service.getProfile())) {
				addViolation(pointer + "/profile", quote(service.getProfile()),
						"one of the profiles " + priorities.keySet());
			}
			if (service.getBatchProfile() != null) {
				checkBatchProfile(pointer + "/batchProfile", service.getBatchProfile(), priorities);
			}
			checkModels(pointer + "/models", service);
		}
	}

	private void checkBatchProfile(String pointer, String name, Map<String, Profile.Priority> priorities) {
		if (priorities.get(name) != Profile.Priority.BATCH) {
			List<String> allowed = priorities.entrySet()
				.stream()
				.filter((e) -> e.getValue() == Profile.Priority.BATCH)
				.map(Map.Entry::getKey)
				.toList();
			addViolation(pointer, quote(name), "a profile with priority batch, one of " + allowed);
		}
	}

	private void checkModels(String pointer, ServiceConfiguration service) {
		List<ModelConfiguration> models = (service.getModels() != null) ? service.getModels() : List.of();
		if (service.getKind() == ServiceConfiguration.Kind.PLAIN && !models.isEmpty()) {
			addViolation(pointer, models.size() + " models", "none, because the kind is plain");
		}
		checkUnique(pointer, models.stream().map(ModelConfiguration::getName).toList());
	}

	private void checkWorkspaces() {
		Set<String> services = this.body.getServices()
			.stream()
			.map(ServiceConfiguration::getName)
			.collect(Collectors.toCollection(TreeSet::new));
		List<WorkspaceConfiguration> workspaces = this.body.getWorkspaces();
		checkUnique("/workspaces", workspaces.stream().map(WorkspaceConfiguration::getName).toList());
		Map<String, String> hashes = new HashMap<>();
		for (int i = 0; i < workspaces.size(); i++) {
			WorkspaceConfiguration workspace = workspaces.get(i);
			List<String> keys = workspace.getKeyHashes();
			for (int j = 0; j < keys.size(); j++) {
				String other = hashes.putIfAbsent(keys.get(j), workspace.getName());
				if (other != null) {
					addViolation("/workspaces/" + i + "/keyHashes/" + j, "a key hash of the workspace " + other,
							"a key hash that no other entry has");
				}
			}
			List<String> allowedServices = (workspace.getServices() != null) ? workspace.getServices() : List.of();
			for (int j = 0; j < allowedServices.size(); j++) {
				if (!services.contains(allowedServices.get(j))) {
					addViolation("/workspaces/" + i + "/services/" + j, quote(allowedServices.get(j)),
							"one of " + services);
				}
			}
		}
	}

	private void checkUnique(String pointer, List<String> names) {
		Set<String> seen = new HashSet<>();
		for (int i = 0; i < names.size(); i++) {
			if (!seen.add(names.get(i))) {
				addViolation(pointer + "/" + i + "/name", quote(names.get(i)),
						"a name that no other entry of " + pointer + " has");
			}
		}
	}

	private void addViolation(String pointer, Object value, String allowed) {
		this.violations.add(new ConfigurationViolation(pointer, String.valueOf(value), allowed));
	}

	private static int getPartitions(FleetConfiguration body) {
		BudgetConfiguration budgets = (body.getBudgets() != null) ? body.getBudgets() : new BudgetConfiguration();
		return budgets.getPartitions();
	}

	private static String quote(String text) {
		return "'" + text + "'";
	}

}
