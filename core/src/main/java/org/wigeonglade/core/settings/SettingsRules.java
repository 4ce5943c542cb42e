package org.wigeonglade.core.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checks what a JSON Schema cannot state: unique names, references between objects, port
 * numbers and control characters. Expects a tree that is valid against its schema.
 */
final class SettingsRules {

	private static final int MAX_PORT = 65_535;

	private static final int MAX_SHOWN_VALUE = 80;

	private final List<String> violations = new ArrayList<>();

	private SettingsRules() {
	}

	static List<String> check(JsonNode tree) {
		SettingsRules rules = new SettingsRules();
		rules.checkText("", tree);
		if (tree.has("services")) {
			rules.checkFleet(tree);
		}
		else {
			rules.checkHost(tree);
		}
		return rules.violations;
	}

	static String violation(String pointer, JsonNode found, String allowed) {
		String place = (pointer.isEmpty()) ? "/" : pointer;
		return place + " is " + abbreviate(found) + ", but " + allowed;
	}

	private static String abbreviate(JsonNode found) {
		if (found == null || found.isMissingNode()) {
			return "absent";
		}
		if (found.isObject()) {
			return "an object";
		}
		String text = found.toString();
		return (text.length() <= MAX_SHOWN_VALUE) ? text : text.substring(0, MAX_SHOWN_VALUE) + "...";
	}

	private void checkHost(JsonNode tree) {
		for (String name : List.of("callerAddress", "operatorAddress", "peerAddress")) {
			checkAddress("/" + name, tree.path(name));
		}
		for (int i = 0; i < tree.path("peerSeeds").size(); i++) {
			checkAddress("/peerSeeds/" + i, tree.path("peerSeeds").get(i));
		}
	}

	private void checkAddress(String pointer, JsonNode address) {
		String text = address.textValue();
		int port = Integer.parseInt(text.substring(text.lastIndexOf(':') + 1));
		if (port > MAX_PORT) {
			this.violations.add(violation(pointer, address, "the port must be at most " + MAX_PORT));
		}
	}

	private void checkFleet(JsonNode tree) {
		Map<String, JsonNode> profiles = index("/profiles", tree.path("profiles"));
		Map<String, JsonNode> services = index("/services", tree.path("services"));
		index("/workspaces", tree.path("workspaces"));
		int position = 0;
		for (JsonNode service : tree.path("services")) {
			String pointer = "/services/" + position++;
			checkReference(pointer + "/profile", service.path("profile"), profiles, "profiles");
			checkBatchProfile(pointer + "/batchProfile", service.path("batchProfile"), profiles);
		}
		position = 0;
		Set<String> keyHashes = new HashSet<>();
		for (JsonNode workspace : tree.path("workspaces")) {
			checkWorkspace("/workspaces/" + position++, workspace, services, keyHashes);
		}
	}

	private void checkBatchProfile(String pointer, JsonNode name, Map<String, JsonNode> profiles) {
		if (name.isMissingNode()) {
			return;
		}
		checkReference(pointer, name, profiles, "profiles");
		JsonNode profile = profiles.get(name.textValue());
		if (profile != null && !"batch".equals(profile.path("priority").textValue())) {
			this.violations.add(violation(pointer, name, "a batch profile must have priority \"batch\""));
		}
	}

	private void checkWorkspace(String pointer, JsonNode workspace, Map<String, JsonNode> services,
			Set<String> keyHashes) {
		JsonNode hashes = workspace.path("keyHashes");
		for (int i = 0; i < hashes.size(); i++) {
			if (!keyHashes.add(hashes.get(i).textValue())) {
				this.violations.add(violation(pointer + "/keyHashes/" + i, hashes.get(i),
						"an API key may belong to one workspace only"));
			}
		}
		JsonNode allowed = workspace.path("services");
		if (allowed.isArray() && allowed.isEmpty()) {
			this.violations.add(violation(pointer + "/services", allowed,
					"the list must name a service; without the key the workspace may call all services"));
		}
		for (int i = 0; i < allowed.size(); i++) {
			checkReference(pointer + "/services/" + i, allowed.get(i), services, "services");
		}
	}

	private void checkReference(String pointer, JsonNode name, Map<String, JsonNode> targets, String kind) {
		if (!targets.containsKey(name.textValue())) {
			this.violations.add(violation(pointer, name,
					"it must be one of the " + kind + " " + targets.keySet().stream().sorted().toList()));
		}
	}

	private Map<String, JsonNode> index(String pointer, JsonNode array) {
		Map<String, JsonNode> byName = new HashMap<>();
		for (int i = 0; i < array.size(); i++) {
			JsonNode name = array.get(i).path("name");
			if (byName.put(name.textValue(), array.get(i)) != null) {
				this.violations
					.add(violation(pointer + "/" + i + "/name", name, "the name must be unique in " + pointer));
			}
		}
		return byName;
	}

	// The patterns of addresses, URLs and paths do not restrict the characters after
	// their
	// prefix. Control characters there would break log lines and HTTP requests.
	private void checkText(String pointer, JsonNode node) {
		if (node.isTextual()) {
			boolean words = pointer.endsWith("/words");
			if (node.textValue().chars().anyMatch((c) -> Character.isISOControl(c) && !(words && c == '\n'))) {
				this.violations.add(violation(pointer, node, "control characters are not allowed"));
			}
		}
		else if (node.isArray()) {
			for (int i = 0; i < node.size(); i++) {
				checkText(pointer + "/" + i, node.get(i));
			}
		}
		else if (node.isObject()) {
			node.properties().forEach((entry) -> checkText(pointer + "/" + entry.getKey(), entry.getValue()));
		}
	}

}
