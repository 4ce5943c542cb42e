package org.wigeonglade.gateway.http;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.CallerLimits;

/**
 * HTTP server for callers. Requests are passed to the handler once they have been
 * received completely. Confined to the event loop.
 */
public final class CallerServer {

	/**
	 * Time in milliseconds for which a connection without a request is kept during a
	 * graceful shutdown, because the request may be on the way.
	 */
	private static final long MIN_IDLE_MILLIS = 250;

	/**
	 * Time in milliseconds without a byte taken after which a caller loses its response.
	 * Runners abort a response that is not read for some seconds.
	 */
	private static final long READ_TIMEOUT_MILLIS = 3_000;

	private static final EventLogger LOG = EventLogger.of(CallerServer.class);

	/** Length of the queue of connections that are not accepted yet. */
	private static final int BACKLOG = 1024;

	private final EventLoopGroup loop;

	private final Ticker ticker;

	private final Supplier<CallerLimits> limits;

	private final Consumer<CallerExchange> handler;

	private final Set<CallerConnection> connections = new HashSet<>();

	private BufferBudget budget = new BufferBudget(Long.MAX_VALUE, Long.MAX_VALUE);

	private Channel listener;

	private boolean draining;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the event loop, not null
	 * @param ticker the clock, not null
	 * @param limits supplies the limits in force, not null
	 * @param handler receives each request, not null
	 */
	public CallerServer(EventLoopGroup loop, Ticker ticker, Supplier<CallerLimits> limits,
			Consumer<CallerExchange> handler) {
		this.loop = loop;
		this.ticker = ticker;
		this.limits = limits;
		this.handler = handler;
	}

	/**
	 * Sets the memory for buffered data, which other servers may share.
	 * @param shared the budget, not null
	 */
	public void setBudget(BufferBudget shared) {
		this.budget = shared;
	}

	/**
	 * Closes the connections of callers that have not taken a byte of their response for
	 * {@value #READ_TIMEOUT_MILLIS} ms, and those of the slowest ones while unread
	 * responses take more memory than the budget allows.
	 */
	public void cutOffSlowReaders() {
		long now = nowMillis();
		List<CallerConnection> waiting = List.copyOf(this.connections)
			.stream()
			.filter((connection) -> connection.updateProgress() > 0)
			.sorted(Comparator
				.comparingLong((CallerConnection connection) -> connection.getProgress().getStalledMillis(now))
				.thenComparingLong((connection) -> connection.getProgress().getPendingBytes())
				.reversed())
			.toList();
		for (CallerConnection connection : waiting) {
			boolean stalled = connection.getProgress().getStalledMillis(now) >= READ_TIMEOUT_MILLIS;
			if (!stalled && !this.budget.isExceeded()) {
				return;
			}
			LOG.log(GatewayEvent.SLOW_READER_CUT_OFF, connection.getChannel().remoteAddress(),
					connection.getProgress().getStalledMillis(now), connection.getProgress().getPendingBytes(),
					stalled ? "no byte was read in time" : "unread responses exceed the memory for them",
					this.budget.getResponseBytes());
			connection.cutOff();
		}
	}

	/**
	 * Starts listening.
	 * @param address the local address, not null
	 * @return completes when the server is listening, or fails
	 */
	public ChannelFuture listen(InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(getLimits().maxHeaderBytes())
						.setMaxInitialLineLength(getLimits().maxHeaderBytes());
					CallerConnection connection = new CallerConnection(CallerServer.this);
					channel.pipeline()
						.addLast(new StrictRequestDecoder(config), new CallerResponseEncoder(connection), connection);
				}
			})
			.bind(address);
		this.listener = bound.channel();
		return bound;
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address, never null after {@link #listen}
	 */
	public InetSocketAddress getAddress() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/**
	 * Begins a graceful shutdown: each connection is closed after its next response,
	 * which announces this to the caller. New connections are accepted until
	 * {@link #close()}.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Closes the connections that have had no request in progress for a while.
	 */
	public void closeIdle() {
		List.copyOf(this.connections).stream().filter(this::isIdle).forEach(CallerConnection::close);
	}

	/**
	 * Returns whether no connection has or may soon have a request in progress.
	 * @return true if {@link #closeIdle()} closes all connections
	 */
	public boolean isIdle() {
		return this.connections.stream().allMatch(this::isIdle);
	}

	private boolean isIdle(CallerConnection connection) {
		return connection.isIdle() && nowMillis() - connection.getIdleSinceMillis() >= MIN_IDLE_MILLIS;
	}

	/**
	 * Returns the number of connections with a request in progress or partly received.
	 * @return the number of connections
	 */
	public int getBusyConnectionCount() {
		return (int) this.connections.stream().filter((c) -> !c.isIdle()).count();
	}

	/**
	 * Returns the requests in progress, without those that wait behind others.
	 * @return the requests, never null
	 */
	public List<CallerExchange> getRequestsInProgress() {
		return this.connections.stream().flatMap((connection) -> connection.getCurrent().stream()).toList();
	}

	/**
	 * Stops listening and closes all connections.
	 */
	public void close() {
		if (this.listener != null) {
			this.listener.close();
		}
		List.copyOf(this.connections).forEach(CallerConnection::close);
	}

	boolean isDraining() {
		return this.draining;
	}

	BufferBudget getBudget() {
		return this.budget;
	}

	CallerLimits getLimits() {
		return this.limits.get();
	}

	long nowMillis() {
		return this.ticker.millis();
	}

	void add(CallerConnection connection) {
		this.connections.add(connection);
	}

	void remove(CallerConnection connection) {
		this.connections.remove(connection);
	}

	void handle(CallerExchange exchange) {
		this.handler.accept(exchange);
	}

}
