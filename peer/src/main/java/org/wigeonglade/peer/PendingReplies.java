package org.wigeonglade.peer;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import io.smallrye.mutiny.subscription.UniEmitter;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Matches replies to requests by correlation id. A reply that comes after its time-out,
 * or twice, is dropped. Thread-safe.
 */
final class PendingReplies {

	private final AtomicLong nextId = new AtomicLong();

	private final Map<Long, Waiting> waiting = new ConcurrentHashMap<>();

	// Registers a request before it is sent.
	long register(Object link, UniEmitter<? super PeerFrame> emitter, EventExecutor executor, long timeoutMillis) {
		long id = this.nextId.incrementAndGet();
		Waiting entry = new Waiting(link, emitter);
		this.waiting.put(id, entry);
		entry.timer = executor.schedule(
				() -> fail(id,
						new PeerException(ErrorCode.PEER_UNREACHABLE,
								"the peer did not reply within " + timeoutMillis + " ms")),
				timeoutMillis, TimeUnit.MILLISECONDS);
		emitter.onTermination(() -> remove(id));
		return id;
	}

	void complete(PeerFrame reply) {
		Waiting entry = remove(reply.getCorrelationId());
		if (entry == null) {
			return;
		}
		if (reply.hasError()) {
			entry.emitter.fail(PeerErrors.toException(reply.getError()));
		}
		else {
			entry.emitter.complete(reply);
		}
	}

	void fail(long id, Throwable failure) {
		Waiting entry = remove(id);
		if (entry != null) {
			entry.emitter.fail(failure);
		}
	}

	void failAll(Object link, Throwable failure) {
		this.waiting.forEach((id, entry) -> {
			if (entry.link == link) {
				fail(id, failure);
			}
		});
	}

	int size() {
		return this.waiting.size();
	}

	private Waiting remove(long id) {
		Waiting entry = this.waiting.remove(id);
		if (entry != null && entry.timer != null) {
			entry.timer.cancel(false);
		}
		return entry;
	}

	private static final class Waiting {

		private final Object link;

		private final UniEmitter<? super PeerFrame> emitter;

		private volatile Future<?> timer;

		private Waiting(Object link, UniEmitter<? super PeerFrame> emitter) {
			this.link = link;
			this.emitter = emitter;
		}

	}

}
