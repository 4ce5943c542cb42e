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
 * Forwards TCP connections over loopback with a one-way latency. A cut direction holds
 * its bytes until it is healed, as a partitioned network does with retransmissions.
 * Thread-safe.
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
	 * @param vertx the event loops, not null
	 * @param scheduler a scheduler with one thread, so that bytes keep their order
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
	 * Cuts directions of the link.
	 * @param forward whether bytes towards the target are held
	 * @param backward whether bytes from the target are held
	 */
	public void cut(boolean forward, boolean backward) {
		this.forwardCut = forward;
		this.backwardCut = backward;
		this.pipes.forEach(Pipe::flush);
	}

	/**
	 * Heals both directions; held bytes are delivered.
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
	 * Stops the link.
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

	private void accept(NetSocket near) {
		near.pause();
		this.sockets.add(near);
		near.closeHandler((ignored) -> this.sockets.remove(near));
		this.client.connect(this.targetPort, LOOPBACK).onComplete((far) -> {
			if (far.failed()) {
				near.close();
				return;
			}
			this.sockets.add(far.result());
			join(near, far.result(), true);
			join(far.result(), near, false);
			near.resume();
		});
	}

	private void join(NetSocket from, NetSocket to, boolean forward) {
		Pipe pipe = new Pipe(to, forward);
		this.pipes.add(pipe);
		from.handler((bytes) -> {
			pipe.later(() -> pipe.deliver(bytes));
			if (to.writeQueueFull()) {
				from.pause();
				to.drainHandler((ignored) -> from.resume());
			}
		});
		from.closeHandler((ignored) -> {
			this.sockets.remove(from);
			pipe.later(pipe::close);
		});
	}

	private final class Pipe {

		private final NetSocket to;

		private final boolean forward;

		private final Deque<Buffer> held = new ArrayDeque<>();

		private boolean closing;

		private Pipe(NetSocket to, boolean forward) {
			this.to = to;
			this.forward = forward;
		}

		private boolean isCut() {
			return (this.forward) ? NetworkLink.this.forwardCut : NetworkLink.this.backwardCut;
		}

		private void later(Runnable action) {
			if (NetworkLink.this.latencyMicros <= 0) {
				action.run();
			}
			else if (!NetworkLink.this.scheduler.isShutdown()) {
				NetworkLink.this.scheduler.schedule(action, NetworkLink.this.latencyMicros, TimeUnit.MICROSECONDS);
			}
		}

		private synchronized void deliver(Buffer bytes) {
			if (isCut() || !this.held.isEmpty()) {
				this.held.addLast(bytes);
			}
			else {
				this.to.write(bytes);
			}
		}

		private synchronized void close() {
			if (isCut()) {
				this.closing = true;
				return;
			}
			NetworkLink.this.pipes.remove(this);
			this.to.close();
		}

		private synchronized void flush() {
			if (isCut()) {
				return;
			}
			while (!this.held.isEmpty()) {
				this.to.write(this.held.removeFirst());
			}
			if (this.closing) {
				close();
			}
		}

	}

}
