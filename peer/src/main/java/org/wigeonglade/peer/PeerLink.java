package org.wigeonglade.peer;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;

/**
 * Outgoing connection to a host for one purpose. Connects when a frame is sent; after a
 * failure it refuses frames until a jittered exponential back-off has passed. All state
 * is confined to one event loop.
 */
final class PeerLink {

	private static final EventLogger logger = EventLogger.of(PeerLink.class);

	private static final Consumer<Throwable> IGNORE = (failure) -> {
	};

	private final LinkContext context;

	private final HostId host;

	private final InetSocketAddress address;

	private final LinkPurpose purpose;

	private final EventLoop loop;

	private final Queue<OutgoingFrame> pending = new ArrayDeque<>();

	private Channel channel;

	private boolean connecting;

	private boolean ready;

	private boolean closed;

	private long retryAtNanos = Long.MIN_VALUE;

	private long backoffMillis;

	PeerLink(LinkContext context, HostId host, InetSocketAddress address, LinkPurpose purpose, EventLoop loop) {
		this.context = context;
		this.host = host;
		this.address = address;
		this.purpose = purpose;
		this.loop = loop;
		this.backoffMillis = context.options().firstBackoff().toMillis();
	}

	InetSocketAddress getAddress() {
		return this.address;
	}

	LinkPurpose getPurpose() {
		return this.purpose;
	}

	HostId getHost() {
		return this.host;
	}

	LinkContext getContext() {
		return this.context;
	}

	EventLoop getLoop() {
		return this.loop;
	}

	void send(PeerFrame frame) {
		send(frame, IGNORE);
	}

	// Queues the frame while the connection is being opened.
	void send(PeerFrame frame, Consumer<Throwable> onRefused) {
		if (this.loop.inEventLoop()) {
			sendOnLoop(new OutgoingFrame(frame, onRefused));
		}
		else {
			this.loop.execute(() -> sendOnLoop(new OutgoingFrame(frame, onRefused)));
		}
	}

	void close() {
		this.loop.execute(() -> {
			this.closed = true;
			if (this.channel != null) {
				this.channel.close();
			}
			onClosed("the connection was closed by this host");
		});
	}

	// Called after the hello of the peer; sends the queued frames.
	void onReady(Channel opened) {
		this.channel = opened;
		this.ready = true;
		this.connecting = false;
		this.backoffMillis = this.context.options().firstBackoff().toMillis();
		for (OutgoingFrame next = this.pending.poll(); next != null; next = this.pending.poll()) {
			write(next);
		}
		opened.flush();
	}

	// Called when a connection or an attempt has failed; queued frames are refused and
	// pending requests fail.
	void onClosed(String reason) {
		boolean wasActive = this.ready || this.connecting;
		this.channel = null;
		this.ready = false;
		this.connecting = false;
		if (wasActive) {
			scheduleRetry(reason);
		}
		PeerException failure = unreachableFailure(reason);
		for (OutgoingFrame next = this.pending.poll(); next != null; next = this.pending.poll()) {
			refuse(next, failure);
		}
		this.context.pendingRequests().failAll(this, failure);
	}

	private void sendOnLoop(OutgoingFrame outgoing) {
		if (this.closed) {
			refuse(outgoing, unreachableFailure("the connection was closed by this host"));
		}
		else if (this.ready) {
			write(outgoing);
			this.channel.flush();
		}
		else if (!this.connecting && System.nanoTime() < this.retryAtNanos) {
			refuse(outgoing, unreachableFailure("the last connection attempt failed and its back-off has not passed"));
		}
		else if (this.pending.size() >= this.context.options().maxPendingFrames()) {
			refuse(outgoing, new PeerException(ErrorCode.PEER_OVERLOADED,
					"too many messages are queued for the connection to " + this.host));
		}
		else {
			this.pending.add(outgoing);
			if (!this.connecting) {
				connect();
			}
		}
	}

	private void write(OutgoingFrame outgoing) {
		if (this.channel.isWritable()) {
			this.channel.write(outgoing.frame, this.channel.voidPromise());
			return;
		}
		refuse(outgoing, new PeerException(ErrorCode.PEER_OVERLOADED,
				"the write buffer of the connection to " + this.host + " is full"));
	}

	private void refuse(OutgoingFrame outgoing, PeerException failure) {
		this.context.traffic().countDropped();
		outgoing.onRefused.accept(failure);
	}

	private void connect() {
		this.connecting = true;
		PeerClientHandler handler = new PeerClientHandler(this);
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.context.options().connectTimeout().toMillis())
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					PeerPipeline.build(channel, PeerLink.this.context.options(), PeerLink.this.context.traffic(),
							(PeerLink.this.context.tls() != null) ? PeerLink.this.context.tls().getClient() : null,
							handler);
				}
			});
		bootstrap.connect(this.address).addListener((future) -> {
			if (!future.isSuccess()) {
				onClosed(String.valueOf(future.cause().getMessage()));
			}
		});
	}

	private void scheduleRetry(String reason) {
		long delayMillis = this.backoffMillis / 2 + ThreadLocalRandom.current().nextLong(this.backoffMillis / 2 + 1);
		this.retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
		this.backoffMillis = Math.min(2 * this.backoffMillis, this.context.options().maxBackoff().toMillis());
		logger.log(PeerEvent.CONNECT_FAILED, this.host, this.address, delayMillis, reason);
	}

	private PeerException unreachableFailure(String reason) {
		return new PeerException(ErrorCode.PEER_UNREACHABLE, "cannot reach the host " + this.host + ": " + reason);
	}

	// Shared by all links of a transport.
	record LinkContext(PeerIdentity self, PeerOptions options, PeerTraffic traffic, PeerTls tls,
			PendingRequests pendingRequests) {

	}

	private record OutgoingFrame(PeerFrame frame, Consumer<Throwable> onRefused) {

	}

}
