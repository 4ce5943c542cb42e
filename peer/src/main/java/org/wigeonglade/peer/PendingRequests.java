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
 * Matches replies to requests by correlation id. A duplicate reply, or one that arrives
 * after the time-out of its request, is dropped. Thread-safe.
 */
final class PendingRequests {

	private final AtomicLong nextId = new AtomicLong();

	private final Map<Long, PendingRequest> requests = new ConcurrentHashMap<>();

	// Must be called before the request is sent.
	long register(Object link, UniEmitter<? super PeerFrame> emitter, EventExecutor executor, long timeoutMillis) {
		long id = this.nextId.incrementAndGet();
		PendingRequest request = new PendingRequest(link, emitter);
		this.requests.put(id, request);
		request.timer = executor.schedule(
				() -> fail(id,
						new PeerException(ErrorCode.PEER_UNREACHABLE,
								"the peer did not reply within " + timeoutMillis + " ms")),
				timeoutMillis, TimeUnit.MILLISECONDS);
		emitter.onTermination(() -> remove(id));
		return id;
	}

	void complete(PeerFrame reply) {
		PendingRequest request = remove(reply.getCorrelationId());
		if (request == null) {
			return;
		}
		if (reply.hasError()) {
			request.emitter.fail(PeerErrors.toException(reply.getError()));
		}
		else {
			request.emitter.complete(reply);
		}
	}

	void fail(long id, Throwable failure) {
		PendingRequest request = remove(id);
		if (request != null) {
			request.emitter.fail(failure);
		}
	}

	void failAll(Object link, Throwable failure) {
		this.requests.forEach((id, request) -> {
			if (request.link == link) {
				fail(id, failure);
			}
		});
	}

	int size() {
		return this.requests.size();
	}

	private PendingRequest remove(long id) {
		PendingRequest request = this.requests.remove(id);
		if (request != null && request.timer != null) {
			request.timer.cancel(false);
		}
		return request;
	}

	private static final class PendingRequest {

		private final Object link;

		private final UniEmitter<? super PeerFrame> emitter;

		private volatile Future<?> timer;

		private PendingRequest(Object link, UniEmitter<? super PeerFrame> emitter) {
			this.link = link;
			this.emitter = emitter;
		}

	}

}
