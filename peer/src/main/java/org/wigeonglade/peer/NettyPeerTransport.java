package org.wigeonglade.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.peer.PeerDirectory;
import org.wigeonglade.core.peer.PeerHandler;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.peer.SocketAddresses;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.settings.TlsSettings;

/**
 * Transport of frames between hosts over TCP, based on Netty. Each host keeps one
 * outgoing connection per peer and purpose; a reply uses the connection of its request.
 * Thread-safe.
 */
public final class NettyPeerTransport implements PeerTransport, PeerDirectory, AutoCloseable {

	private static final String ADDRESS_DESCRIPTION = "a peer address";

	private static final EventLogger logger = EventLogger.of(NettyPeerTransport.class);

	/** With two event loops, batch frames do not delay control frames. */
	private static final int EVENT_LOOPS = 2;

	private final PeerIdentity self;

	private final InetSocketAddress listenAddress;

	private final PeerOptions options;

	private final EventLoopGroup group;

	private final boolean ownsGroup;

	private final PeerTls tls;

	private final PeerTraffic traffic = new PeerTraffic();

	private final PeerHandlerRegistry handlers = new PeerHandlerRegistry();

	private final PendingRequests pendingRequests = new PendingRequests();

	private final PeerLink.LinkContext context;

	private final Map<HostId, InetSocketAddress> addresses = new ConcurrentHashMap<>();

	private final Map<LinkPurpose, Map<HostId, PeerLink>> links = new EnumMap<>(LinkPurpose.class);

	private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private volatile Channel listener;

	private volatile boolean closed;

	private NettyPeerTransport(Builder builder) {
		this.self = Objects.requireNonNull(builder.identity, "identity");
		this.listenAddress = SocketAddresses.parse(builder.listenAddress, ADDRESS_DESCRIPTION);
		this.options = builder.options;
		this.ownsGroup = builder.group == null;
		this.group = (this.ownsGroup) ? newGroup() : builder.group;
		this.tls = (builder.tls != null) ? PeerTls.load(builder.tls) : null;
		this.context = new PeerLink.LinkContext(this.self, this.options, this.traffic, this.tls, this.pendingRequests);
		this.links.put(LinkPurpose.CONTROL, new ConcurrentHashMap<>());
		this.links.put(LinkPurpose.BATCH, new ConcurrentHashMap<>());
	}

	/**
	 * Returns a builder.
	 * @return a builder with default options and without TLS
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Opens the listener. Handlers must be registered before.
	 * @throws PeerException if the address cannot be bound
	 */
	public void start() {
		ChannelFuture bound = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					initAccepted(channel);
				}
			})
			.bind(this.listenAddress)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new PeerException(ErrorCode.PEER_UNREACHABLE,
					"cannot listen on the peer address " + this.listenAddress + ": " + bound.cause().getMessage(),
					bound.cause());
		}
		this.listener = bound.channel();
		if (this.tls != null) {
			this.tls.startReloading(this.group);
		}
		logger.log(PeerEvent.LISTENING, getAddress());
	}

	/**
	 * Returns the bound address.
	 * @return {@code ip:port} with the actual port
	 */
	public String getAddress() {
		return SocketAddresses.format((InetSocketAddress) this.listener.localAddress());
	}

	/**
	 * Returns the traffic counters.
	 * @return the counters, which are updated continuously
	 */
	public PeerTraffic getTraffic() {
		return this.traffic;
	}

	/**
	 * Returns the number of requests without a reply so far.
	 * @return the number, at least 0
	 */
	public int getPendingRequests() {
		return this.pendingRequests.size();
	}

	@Override
	public Uni<PeerFrame> request(HostId to, LinkPurpose purpose, PeerFrame frame, Duration timeout) {
		if (to.equals(this.self.host())) {
			return dispatchLocally(frame, timeout);
		}
		return Uni.createFrom().emitter((emitter) -> {
			PeerLink link = findLink(to, purpose);
			PeerException refusal = check(to, link, frame);
			if (refusal != null) {
				emitter.fail(refusal);
				return;
			}
			long id = this.pendingRequests.register(link, emitter, link.getLoop(), timeout.toMillis());
			link.send(withProtocolFields(frame, id), (failure) -> this.pendingRequests.fail(id, failure));
		});
	}

	@Override
	public void send(HostId to, LinkPurpose purpose, PeerFrame frame) {
		if (to.equals(this.self.host())) {
			dispatchLocally(frame, this.options.connectTimeout()).subscribe().with((reply) -> {
			}, (failure) -> this.traffic.countDropped());
			return;
		}
		PeerLink link = findLink(to, purpose);
		if (check(to, link, frame) != null) {
			this.traffic.countDropped();
			return;
		}
		link.send(withProtocolFields(frame, 0));
	}

	@Override
	public void handle(PeerFrame.BodyCase body, PeerHandler handler) {
		this.handlers.register(body, handler);
	}

	@Override
	public void setPeerAddress(HostId host, String address) {
		InetSocketAddress parsed = SocketAddresses.parse(address, ADDRESS_DESCRIPTION);
		InetSocketAddress old = this.addresses.put(host, parsed);
		if (old != null && !old.equals(parsed)) {
			closeLinks(host);
		}
	}

	@Override
	public void removePeer(HostId host) {
		this.addresses.remove(host);
		closeLinks(host);
	}

	@Override
	public Uni<HostId> identifyPeer(String address) {
		return Uni.createFrom()
			.<HostId>emitter((emitter) -> PeerHostLookup.start(this.context, this.group.next(),
					SocketAddresses.parse(address, ADDRESS_DESCRIPTION), emitter))
			.invoke((host) -> setPeerAddress(host, address));
	}

	/**
	 * Closes the listener and all connections. Pending requests fail.
	 */
	@Override
	public void close() {
		this.closed = true;
		if (this.tls != null) {
			this.tls.stop();
		}
		if (this.listener != null) {
			this.listener.close().awaitUninterruptibly();
		}
		this.accepted.close().awaitUninterruptibly();
		this.links.values().forEach((map) -> map.values().forEach(PeerLink::close));
		if (this.ownsGroup) {
			this.group.shutdownGracefully(0, 2, TimeUnit.SECONDS);
		}
	}

	private void initAccepted(Channel channel) {
		this.accepted.add(channel);
		PeerPipeline.build(channel, this.options, this.traffic, (this.tls != null) ? this.tls.getServer() : null,
				new PeerServerHandler(this.self, this.options, this.handlers));
	}

	private Uni<PeerFrame> dispatchLocally(PeerFrame frame, Duration timeout) {
		EventExecutor executor = this.group.next();
		return this.handlers.dispatch(this.self.host(), frame)
			.runSubscriptionOn(executor)
			.map((reply) -> (reply != null) ? reply.toBuilder().setReply(true).build() : null)
			.ifNoItem()
			.after(timeout)
			.on(this.group)
			.failWith(() -> new PeerException(ErrorCode.PEER_UNREACHABLE,
					"the handler on this host did not reply within " + timeout.toMillis() + " ms"))
			.onItem()
			.transformToUni(this::failOnErrorReply);
	}

	private Uni<PeerFrame> failOnErrorReply(PeerFrame reply) {
		if (reply != null && reply.hasError()) {
			return Uni.createFrom().failure(PeerErrors.toException(reply.getError()));
		}
		return Uni.createFrom().item(reply);
	}

	private PeerException check(HostId to, PeerLink link, PeerFrame frame) {
		if (link == null) {
			return new PeerException(ErrorCode.PEER_UNREACHABLE, "the address of the host " + to + " is not known");
		}
		int size = frame.getSerializedSize();
		// Reserves space for the length, the correlation id and the protocol version.
		int limit = this.options.maxFrameBytes() - 64;
		return (size <= limit) ? null : new PeerException(ErrorCode.TOO_LARGE,
				"a peer message has " + size + " bytes; at most " + limit + " are allowed");
	}

	private PeerLink findLink(HostId to, LinkPurpose purpose) {
		InetSocketAddress address = this.addresses.get(to);
		if (address == null || this.closed) {
			return null;
		}
		return this.links.get(purpose)
			.computeIfAbsent(to, (host) -> new PeerLink(this.context, host, address, purpose, this.group.next()));
	}

	private void closeLinks(HostId host) {
		for (Map<HostId, PeerLink> map : this.links.values()) {
			PeerLink link = map.remove(host);
			if (link != null) {
				link.close();
			}
		}
	}

	private static PeerFrame withProtocolFields(PeerFrame frame, long id) {
		return frame.toBuilder()
			.setProtocolVersion(PeerIdentity.PROTOCOL_VERSION)
			.setCorrelationId(id)
			.setReply(false)
			.build();
	}

	private static EventLoopGroup newGroup() {
		return new MultiThreadIoEventLoopGroup(EVENT_LOOPS, new DefaultThreadFactory("peer", true),
				NioIoHandler.newFactory());
	}

	/**
	 * Builder of a transport.
	 */
	public static final class Builder {

		private PeerIdentity identity;

		private String listenAddress;

		private PeerOptions options = PeerOptions.defaults();

		private EventLoopGroup group;

		private TlsSettings tls;

		private Builder() {
		}

		/**
		 * Sets the identity of this host.
		 * @param value the identity, not null
		 * @return this builder
		 */
		public Builder identity(PeerIdentity value) {
			this.identity = value;
			return this;
		}

		/**
		 * Sets the address of the listener.
		 * @param value {@code ip:port}; port 0 selects a free port
		 * @return this builder
		 */
		public Builder listenAddress(String value) {
			this.listenAddress = value;
			return this;
		}

		/**
		 * Sets the limits and time-outs.
		 * @param value the options, not null
		 * @return this builder
		 */
		public Builder options(PeerOptions value) {
			this.options = value;
			return this;
		}

		/**
		 * Sets the event loops, which other transports of the process may share.
		 * @param value the loops, which the caller shuts down
		 * @return this builder
		 */
		public Builder eventLoops(EventLoopGroup value) {
			this.group = value;
			return this;
		}

		/**
		 * Enables TLS with client certificates.
		 * @param value the paths of the certificate files, or null for plain connections
		 * @return this builder
		 */
		public Builder tls(TlsSettings value) {
			this.tls = value;
			return this;
		}

		/**
		 * Creates the transport; {@link NettyPeerTransport#start()} opens it.
		 * @return the transport
		 * @throws org.wigeonglade.core.error.InvalidRequestException if the address or a
		 * certificate file cannot be used
		 */
		public NettyPeerTransport build() {
			return new NettyPeerTransport(this);
		}

	}

}
