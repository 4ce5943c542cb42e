package org.wigeonglade.entry.control;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.engine.EngineCommand;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.place.RunnerObservation;

/**
 * Client that the placement uses to command and query runners.
 */
public interface PlacementRunnerClient {

	/**
	 * Sends a command to a runner.
	 * @param runner the runner, not null
	 * @param command the command, not null
	 * @return completes when the engine has accepted the command; fails with code
	 * {@link org.wigeonglade.core.error.ErrorCode#COMMAND_FENCED} when its term is stale
	 */
	Uni<Void> command(UpstreamMember runner, EngineCommand command);

	/**
	 * Queries the model and the term of a runner.
	 * @param runner the runner, not null
	 * @return the observation; fails if the runner cannot be queried
	 */
	Uni<RunnerObservation> observe(UpstreamMember runner);

}
