package org.wigeonglade.core.engine;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

/**
 * One model engine. An engine admits every request at once and in order of arrival; it
 * knows no priorities.
 */
public interface EngineClient {

	/**
	 * Runs a completion. Cancelling the subscription cancels the stream at the engine.
	 * @param request the request, not null
	 * @return tokens in order and then exactly one {@link EngineEvent.End}; fails with
	 * {@link org.wigeonglade.core.error.UpstreamException}, also when the stream ends
	 * without its end mark
	 */
	Multi<EngineEvent> run(EngineRequest request);

	/**
	 * Reads the load report, which lags behind.
	 * @return the report
	 */
	Uni<LoadReport> load();

	/**
	 * Reads cache events after a sequence number. Events come late and with gaps.
	 * @param afterSequence the last sequence number seen, 0 for all
	 * @return the retained events
	 */
	Uni<CacheEvents> cacheEvents(long afterSequence);

	/**
	 * Gives a command that states the wanted end state.
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
	 * @return completes when the engine holds it
	 */
	Uni<Void> importCache(String prefixHash, byte[] cache);

}
