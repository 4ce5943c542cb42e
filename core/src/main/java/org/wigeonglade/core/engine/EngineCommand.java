package org.wigeonglade.core.engine;

import java.util.List;

/**
 * Holds the wanted end state of an engine. Safe to repeat.
 *
 * @param term the fencing token of the holder
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
