package org.wigeonglade.core.engine;

import java.util.List;

/**
 * Command that states the desired state of an engine. Idempotent.
 *
 * @param term the fencing token: the placement term of the sender
 * @param model the model to have loaded
 * @param modelVersion the version of the model
 * @param adapters the adapters to have loaded
 * @param role the role, such as {@code serve}
 */
public record EngineCommand(long term, String model, String modelVersion, List<String> adapters, String role) {

	/**
	 * Creates the command with a copy of the adapters.
	 */
	public EngineCommand {
		adapters = List.copyOf(adapters);
	}

}
