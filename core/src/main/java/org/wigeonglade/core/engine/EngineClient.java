package org.wigeonglade.core.engine;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

/**
 * Client of a model engine. An engine admits requests immediately and in order of
 * arrival; it has no priorities.
 */
public interface EngineClient {

	/**
	 * Runs a completion. Cancelling the subscription cancels the stream at the engine.
	 * @param request the request, not null
	 * @return tokens in order and then exactly one {@link EngineEvent.End}; fails with
	 * {@link org.wigeonglade.core.error.UpstreamException}, also when the stream ends
	 * without its end marker
	 */
	Multi<EngineEvent> run(EngineRequest request);

	/**
	 * Reads the load report.
	 * @return the report, which is out of date by its {@link LoadReport#ageMillis()}
	 */
	Uni<LoadReport> load();

	/**
	 * Reads cache events after a sequence number. Events are delayed and some are lost.
	 * @param afterSequence the last sequence number received, 0 for all
	 * @return the retained events
	 */
	Uni<CacheEvents> cacheEvents(long afterSequence);

	/**
	 * Sends a command that states the desired state.
	 * @param command the command, not null
	 * @return completes when the engine accepted it; fails with code
	 * {@link org.wigeonglade.core.error.ErrorCode#COMMAND_FENCED} when its term is stale
	 */
	Uni<Void> command(EngineCommand command);

	/**
	 * Exports the KV cache of a prompt prefix.
	 * @param prefixHash the hash of the prefix
	 * @return the encoded cache; fails when the prefix is not cached
	 */
	Uni<byte[]> exportCache(String prefixHash);

	/**
	 * Imports a KV cache.
	 * @param prefixHash the hash of the prefix
	 * @param cache the encoded cache, not null
	 * @return completes when the engine has stored it
	 */
	Uni<Void> importCache(String prefixHash, byte[] cache);

}
