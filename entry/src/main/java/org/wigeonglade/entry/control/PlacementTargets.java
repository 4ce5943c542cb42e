package org.wigeonglade.entry.control;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.engine.EngineCommand;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.place.RunnerObservation;

/**
 * Gives placement access to runners.
 */
public interface PlacementTargets {

	/**
	 * Gives a command.
	 * @param runner the runner, not null
	 * @param command the command, not null
	 * @return completes when the engine accepted it; fails with code
	 * {@link org.wigeonglade.core.error.ErrorCode#COMMAND_FENCED} when its term is stale
	 */
	Uni<Void> command(UpstreamMember runner, EngineCommand command);

	/**
	 * Asks a runner what it serves.
	 * @param runner the runner, not null
	 * @return what it told
	 */
	Uni<RunnerObservation> observe(UpstreamMember runner);

}
