package org.wigeonglade.core.settings;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checks what a JSON Schema cannot state and what the bound objects no longer show: port
 * numbers, control characters and empty lists. Expects a tree that is valid against its
 * schema.
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
			rules.checkWorkspaces(tree.path("workspaces"));
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

	// The generated list is empty both when the key is absent and when it names nothing,
	// and
	// an absent key allows all services.
	private void checkWorkspaces(JsonNode workspaces) {
		for (int i = 0; i < workspaces.size(); i++) {
			JsonNode allowed = workspaces.get(i).path("services");
			if (allowed.isArray() && allowed.isEmpty()) {
				this.violations.add(violation("/workspaces/" + i + "/services", allowed,
						"the list must name a service; without the key the workspace may call all services"));
			}
		}
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
