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
 * TCP proxy on loopback that adds a one-way latency, limits the rate of each direction
 * and simulates network partitions. Bytes in a cut direction are buffered until the
 * partition is healed, because TCP would retransmit them. Thread-safe.
 */
public final class NetworkLink {

	private static final String LOOPBACK = "127.0.0.1";

	private final Vertx vertx;

	private final ScheduledExecutorService scheduler;

	private final int targetPort;

	private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

	private final Set<NetSocket> sockets = ConcurrentHashMap.newKeySet();

	private NetServer server;

	private NetClient client;

	private final Direction forward = new Direction();

	private final Direction backward = new Direction();

	private volatile long latencyNanos;

	private volatile long bytesPerSecond;

	private NetworkLink(Vertx vertx, ScheduledExecutorService scheduler, int targetPort, long latencyMicros) {
		this.vertx = vertx;
		this.scheduler = scheduler;
		this.targetPort = targetPort;
		this.latencyNanos = TimeUnit.MICROSECONDS.toNanos(latencyMicros);
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
		this.forward.cut = forward;
		this.backward.cut = backward;
		this.pipes.forEach(Pipe::flush);
	}

	/**
	 * Sets the one-way latency of bytes that arrive from now on. The order of the bytes
	 * of a connection stays.
	 * @param latencyMicros the latency in microseconds, 0 for none
	 */
	public void setLatency(long latencyMicros) {
		this.latencyNanos = TimeUnit.MICROSECONDS.toNanos(latencyMicros);
	}

	/**
	 * Limits the rate of each direction, which all connections share.
	 * @param limit the rate in bytes per second, 0 for no limit
	 */
	public void setRate(long limit) {
		this.bytesPerSecond = limit;
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
			forward(incoming, connected.result(), this.forward);
			forward(connected.result(), incoming, this.backward);
			incoming.resume();
		});
	}

	private void forward(NetSocket from, NetSocket to, Direction direction) {
		Pipe pipe = new Pipe(to, direction);
		this.pipes.add(pipe);
		from.handler((bytes) -> {
			pipe.runWhenArrived(bytes.length(), () -> pipe.deliver(bytes));
			if (to.writeQueueFull()) {
				from.pause();
				to.drainHandler((ignored) -> from.resume());
			}
		});
		from.closeHandler((ignored) -> {
			this.sockets.remove(from);
			pipe.runWhenArrived(0, pipe::close);
		});
	}

	/**
	 * One direction of the link, whose rate all connections share.
	 */
	private final class Direction {

		private volatile boolean cut;

		private long freeNanos = System.nanoTime();

		// Returns when the last of some bytes that are sent now arrives.
		private synchronized long send(int bytes, long now) {
			long rate = NetworkLink.this.bytesPerSecond;
			long sendingNanos = (rate > 0) ? TimeUnit.SECONDS.toNanos(bytes) / rate : 0;
			this.freeNanos = Math.max(now, this.freeNanos) + sendingNanos;
			return this.freeNanos + NetworkLink.this.latencyNanos;
		}

	}

	private final class Pipe {

		private final NetSocket to;

		private final Direction direction;

		private final Deque<Buffer> buffered = new ArrayDeque<>();

		private boolean closePending;

		private int inTransit;

		private long lastArrivalNanos = System.nanoTime();

		private Pipe(NetSocket to, Direction direction) {
			this.to = to;
			this.direction = direction;
		}

		// Nothing overtakes what was sent before, also when the latency falls.
		private synchronized void runWhenArrived(int bytes, Runnable action) {
			long now = System.nanoTime();
			this.lastArrivalNanos = Math.max(this.lastArrivalNanos, this.direction.send(bytes, now));
			if (this.lastArrivalNanos <= now && this.inTransit == 0) {
				action.run();
			}
			else if (!NetworkLink.this.scheduler.isShutdown()) {
				this.inTransit++;
				NetworkLink.this.scheduler.schedule(() -> arrive(action), this.lastArrivalNanos - now,
						TimeUnit.NANOSECONDS);
			}
		}

		private synchronized void arrive(Runnable action) {
			this.inTransit--;
			action.run();
		}

		private synchronized void deliver(Buffer bytes) {
			if (this.direction.cut || !this.buffered.isEmpty()) {
				this.buffered.addLast(bytes);
			}
			else {
				this.to.write(bytes);
			}
		}

		private synchronized void close() {
			if (this.direction.cut) {
				this.closePending = true;
				return;
			}
			NetworkLink.this.pipes.remove(this);
			this.to.close();
		}

		private synchronized void flush() {
			if (this.direction.cut) {
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
