package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.peer.PeerDirectory;
import org.wigeonglade.core.peer.PeerHandler;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Simulated network that delivers frames between hosts in the order of sending. Links can
 * be cut in one direction, and a paused host neither sends nor receives.
 */
final class SimulatedNetwork {

	private final Map<HostId, Map<PeerFrame.BodyCase, PeerHandler>> handlers = new HashMap<>();

	private final Map<String, HostId> addresses = new HashMap<>();

	private final Set<String> cut = new HashSet<>();

	private final Set<HostId> paused = new HashSet<>();

	private final Queue<Runnable> queue = new ArrayDeque<>();

	Executor executor() {
		return this.queue::add;
	}

	void drain() {
		for (Runnable next = this.queue.poll(); next != null; next = this.queue.poll()) {
			next.run();
		}
	}

	void cut(HostId from, HostId to) {
		this.cut.add(from + ">" + to);
	}

	void healAll() {
		this.cut.clear();
	}

	void setPaused(HostId host, boolean value) {
		if (value) {
			this.paused.add(host);
		}
		else {
			this.paused.remove(host);
		}
	}

	Endpoint register(HostId host, String address) {
		this.handlers.put(host, new EnumMap<>(PeerFrame.BodyCase.class));
		this.addresses.put(address, host);
		return new Endpoint(host);
	}

	private boolean reaches(HostId from, HostId to) {
		return this.handlers.containsKey(to) && !this.paused.contains(to) && !this.paused.contains(from)
				&& !this.cut.contains(from + ">" + to);
	}

	/**
	 * Transport of one host.
	 */
	final class Endpoint implements PeerTransport, PeerDirectory {

		private final HostId self;

		private Endpoint(HostId self) {
			this.self = self;
		}

		@Override
		public Uni<PeerFrame> request(HostId to, LinkPurpose purpose, PeerFrame frame, Duration timeout) {
			return Uni.createFrom().emitter((emitter) -> SimulatedNetwork.this.queue.add(() -> {
				PeerHandler handler = (reaches(this.self, to))
						? SimulatedNetwork.this.handlers.get(to).get(frame.getBodyCase()) : null;
				if (handler == null || !reaches(to, this.self)) {
					emitter.fail(new PeerException(ErrorCode.PEER_UNREACHABLE, "link " + this.self + ">" + to));
				}
				else {
					handler.handle(this.self, frame).subscribe().with(emitter::complete, emitter::fail);
				}
			}));
		}

		@Override
		public void send(HostId to, LinkPurpose purpose, PeerFrame frame) {
			SimulatedNetwork.this.queue.add(() -> {
				if (reaches(this.self, to)) {
					PeerHandler handler = SimulatedNetwork.this.handlers.get(to).get(frame.getBodyCase());
					handler.handle(this.self, frame).subscribe().with((reply) -> {
					}, (failure) -> {
					});
				}
			});
		}

		@Override
		public void handle(PeerFrame.BodyCase body, PeerHandler handler) {
			SimulatedNetwork.this.handlers.get(this.self).put(body, handler);
		}

		@Override
		public void setPeerAddress(HostId host, String address) {
			SimulatedNetwork.this.addresses.put(address, host);
		}

		@Override
		public void removePeer(HostId host) {
		}

		@Override
		public Uni<HostId> identifyPeer(String address) {
			HostId host = SimulatedNetwork.this.addresses.get(address);
			return (host != null && reaches(this.self, host)) ? Uni.createFrom().item(host)
					: Uni.createFrom().failure(new PeerException(ErrorCode.PEER_UNREACHABLE, address));
		}

	}

}
