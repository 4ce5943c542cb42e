package org.wigeonglade.standins.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.wigeonglade.standins.StandInServer;

/**
 * TCP proxy on loopback that adds a one-way latency and simulates network partitions.
 * Bytes in a cut direction are buffered until the partition is healed, because TCP would
 * retransmit them. Thread-safe.
 */
public final class NetworkLink {

	private static final String LOOPBACK = "127.0.0.1";

	private final Vertx vertx;

	private final ScheduledExecutorService scheduler;

	private final int targetPort;

	private final long latencyMicros;

	private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

	private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();

	private NetServer server;

	private NetClient client;

	private volatile boolean forwardCut;

	private volatile boolean backwardCut;

	private NetworkLink(Vertx vertx, ScheduledExecutorService scheduler, int targetPort, long latencyMicros) {
		this.vertx = vertx;
		this.scheduler = scheduler;
		this.targetPort = targetPort;
		this.latencyMicros = latencyMicros;
	}

	/**
	 * Starts a link on a free port.
	 * @param vertx the Vert.x instance, not null
	 * @param scheduler a scheduler with one thread, which keeps the order of bytes
	 * @param targetPort the loopback port to forward to
	 * @param latencyMicros the one-way latency in microseconds, 0 for none
	 * @return the started link, never null
	 */
	public static NetworkLink start(Vertx vertx, ScheduledExecutorService scheduler, int targetPort,
			long latencyMicros) {
		NetworkLink link = new NetworkLink(vertx, scheduler, targetPort, latencyMicros);
		link.listen();
		return link;
	}

	/**
	 * Returns the port to connect to.
	 * @return the port of the link
	 */
	public int port() {
		return this.server.actualPort();
	}

	/**
	 * Returns the address to connect to.
	 * @return {@code ip:port}, never null
	 */
	public String address() {
		return LOOPBACK + ":" + port();
	}

	/**
	 * Cuts or restores each direction of the link.
	 * @param forward whether bytes to the target are buffered
	 * @param backward whether bytes from the target are buffered
	 */
	public void cut(boolean forward, boolean backward) {
		this.forwardCut = forward;
		this.backwardCut = backward;
		this.pipes.forEach(Pipe::flush);
	}

	/**
	 * Restores both directions and delivers the buffered bytes.
	 */
	public void heal() {
		cut(false, false);
	}

	/**
	 * Closes all open connections of the link.
	 */
	public void reset() {
		this.sockets.forEach(NetSocket::close);
	}

	/**
	 * Closes the listener and all connections of the link.
	 */
	public void stop() {
		reset();
		StandInServer.await(this.server.close());
		StandInServer.await(this.client.close());
	}

	private void listen() {
		this.client = this.vertx.createNetClient();
		NetServerOptions options = new NetServerOptions().setHost(LOOPBACK).setPort(0);
		this.server = this.vertx.createNetServer(options).connectHandler(this::accept);
		StandInServer.await(this.server.listen());
	}

	private void accept(NetSocket incoming) {
		incoming.pause();
		this.sockets.add(incoming);
		incoming.closeHandler((ignored) -> this.sockets.remove(incoming));
		this.client.connect(this.targetPort, LOOPBACK).onComplete((connected) -> {
			if (connected.failed()) {
				incoming.close();
				return;
			}
			this.sockets.add(connected.result());
			forward(incoming, connected.result(), true);
			forward(connected.result(), incoming, false);
			incoming.resume();
		});
	}

	private void forward(NetSocket from, NetSocket to, boolean forward) {
		Pipe pipe = new Pipe(to, forward);
		this.pipes.add(pipe);
		from.handler((bytes) -> {
			pipe.runAfterLatency(() -> pipe.deliver(bytes));
			if (to.writeQueueFull()) {
				from.pause();
				to.drainHandler((ignored) -> from.resume());
			}
		});
		from.closeHandler((ignored) -> {
			this.sockets.remove(from);
			pipe.runAfterLatency(pipe::close);
		});
	}

	private final class Pipe {

		private final NetSocket to;

		private final boolean forward;

		private final Deque<Buffer> buffered = new ArrayDeque<>();

		private boolean closePending;

		private Pipe(NetSocket to, boolean forward) {
			this.to = to;
			this.forward = forward;
		}

		private boolean isCut() {
			return (this.forward) ? NetworkLink.this.forwardCut : NetworkLink.this.backwardCut;
		}

		private void runAfterLatency(Runnable action) {
			if (NetworkLink.this.latencyMicros <= 0) {
				action.run();
			}
			else if (!NetworkLink.this.scheduler.isShutdown()) {
				NetworkLink.this.scheduler.schedule(action, NetworkLink.this.latencyMicros, TimeUnit.MICROSECONDS);
			}
		}

		private synchronized void deliver(Buffer bytes) {
			if (isCut() || !this.buffered.isEmpty()) {
				this.buffered.addLast(bytes);
			}
			else {
				this.to.write(bytes);
			}
		}

		private synchronized void close() {
			if (isCut()) {
				this.closePending = true;
				return;
			}
			NetworkLink.this.pipes.remove(this);
			this.to.close();
		}

		private synchronized void flush() {
			if (isCut()) {
				return;
			}
			while (!this.buffered.isEmpty()) {
				this.to.write(this.buffered.removeFirst());
			}
			if (this.closePending) {
				close();
			}
		}

	}

}
