package org.wigeonglade.bench.batch;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.peer.PeerHandler;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Carries frames between hosts of one process without sockets.
 */
final class LocalPeers {

	private final Map<HostId, Map<PeerFrame.BodyCase, PeerHandler>> hosts = new ConcurrentHashMap<>();

	private final ExecutorService executor = Executors
		.newSingleThreadExecutor((task) -> Thread.ofPlatform().daemon().name("local-peers").unstarted(task));

	PeerTransport join(HostId self) {
		this.hosts.put(self, new ConcurrentHashMap<>());
		return new LocalTransport(self);
	}

	void leave(HostId host) {
		this.hosts.remove(host);
	}

	void close() {
		this.executor.shutdownNow();
	}

	/**
	 * Transport of one host.
	 */
	private final class LocalTransport implements PeerTransport {

		private final HostId self;

		private LocalTransport(HostId self) {
			this.self = self;
		}

		@Override
		public Uni<PeerFrame> request(HostId to, LinkPurpose purpose, PeerFrame frame, Duration timeout) {
			return Uni.createFrom()
				.deferred(() -> handle(to, frame))
				.runSubscriptionOn(LocalPeers.this.executor)
				.ifNoItem()
				.after(timeout)
				.failWith(() -> new PeerException(ErrorCode.PEER_UNREACHABLE, to + " did not answer"));
		}

		@Override
		public void send(HostId to, LinkPurpose purpose, PeerFrame frame) {
			request(to, purpose, frame, Duration.ofSeconds(1)).subscribe().with((reply) -> {
			}, (failure) -> {
			});
		}

		@Override
		public void handle(PeerFrame.BodyCase body, PeerHandler handler) {
			Map<PeerFrame.BodyCase, PeerHandler> own = LocalPeers.this.hosts.get(this.self);
			if (own != null) {
				own.put(body, handler);
			}
		}

		private Uni<PeerFrame> handle(HostId to, PeerFrame frame) {
			Map<PeerFrame.BodyCase, PeerHandler> receiver = LocalPeers.this.hosts.get(to);
			PeerHandler handler = (receiver != null) ? receiver.get(frame.getBodyCase()) : null;
			if (handler == null || !LocalPeers.this.hosts.containsKey(this.self)) {
				return Uni.createFrom()
					.failure(new PeerException(ErrorCode.PEER_UNREACHABLE, to + " cannot be reached"));
			}
			return handler.handle(this.self, frame);
		}

	}

}
