package org.wigeonglade.core.settings;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Validates what a JSON Schema cannot express and what the bound objects no longer show:
 * port numbers, control characters and empty lists. Expects a tree that is valid against
 * its schema.
 */
final class SettingsRules {

	private static final int MAX_PORT = 65_535;

	private static final int MAX_VALUE_CHARS = 80;

	private final List<String> violations = new ArrayList<>();

	private SettingsRules() {
	}

	static List<String> check(JsonNode tree) {
		SettingsRules rules = new SettingsRules();
		rules.checkControlCharacters("", tree);
		if (tree.has("services")) {
			rules.checkWorkspaceServices(tree.path("workspaces"));
		}
		else {
			rules.checkAddresses(tree);
		}
		return rules.violations;
	}

	static String describeViolation(String pointer, JsonNode value, String constraint) {
		String location = (pointer.isEmpty()) ? "/" : pointer;
		return location + " is " + abbreviate(value) + ", but " + constraint;
	}

	private static String abbreviate(JsonNode value) {
		if (value == null || value.isMissingNode()) {
			return "absent";
		}
		if (value.isObject()) {
			return "an object";
		}
		String text = value.toString();
		return (text.length() <= MAX_VALUE_CHARS) ? text : text.substring(0, MAX_VALUE_CHARS) + "...";
	}

	private void checkAddresses(JsonNode tree) {
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
			this.violations.add(describeViolation(pointer, address, "the port must be at most " + MAX_PORT));
		}
	}

	// Checks the tree, because the bound list is empty both for an absent key, which
	// allows all services, and for an empty array.
	private void checkWorkspaceServices(JsonNode workspaces) {
		for (int i = 0; i < workspaces.size(); i++) {
			JsonNode services = workspaces.get(i).path("services");
			if (services.isArray() && services.isEmpty()) {
				this.violations.add(describeViolation("/workspaces/" + i + "/services", services,
						"the list must name a service; without the key the workspace may call all services"));
			}
		}
	}

	// The schema restricts only the prefix of addresses, URLs and paths. Control
	// characters in the rest would break log lines and HTTP requests.
	private void checkControlCharacters(String pointer, JsonNode node) {
		if (node.isTextual()) {
			boolean multiline = pointer.endsWith("/words");
			if (node.textValue().chars().anyMatch((c) -> Character.isISOControl(c) && !(multiline && c == '\n'))) {
				this.violations.add(describeViolation(pointer, node, "control characters are not allowed"));
			}
		}
		else if (node.isArray()) {
			for (int i = 0; i < node.size(); i++) {
				checkControlCharacters(pointer + "/" + i, node.get(i));
			}
		}
		else if (node.isObject()) {
			node.properties()
				.forEach((entry) -> checkControlCharacters(pointer + "/" + entry.getKey(), entry.getValue()));
		}
	}

}
