package org.wigeonglade.bench.history;

import java.util.Optional;
import java.util.concurrent.CompletionException;

import io.vertx.core.Future;

/**
 * Waits for futures on virtual threads.
 */
final class Blocking {

	private Blocking() {
	}

	static <T> T await(Future<T> future) {
		return future.toCompletionStage().toCompletableFuture().join();
	}

	static <T> Optional<T> tryAwait(Future<T> future) {
		try {
			return Optional.of(await(future));
		}
		catch (CompletionException ex) {
			return Optional.empty();
		}
	}

}
