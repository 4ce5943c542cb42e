package org.wigeonglade.bench.fleet;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.channel.EventLoopGroup;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.wigeonglade.adapters.hosts.HttpHostDirectory;
import org.wigeonglade.adapters.log.HttpLogService;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.entry.control.ControlRuntime;
import org.wigeonglade.peer.NettyPeerTransport;
import org.wigeonglade.peer.PeerIdentity;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.ServiceView;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Runs the control part of one host with its own listener and its own connections to the
 * platform.
 */
final class FleetHost implements AutoCloseable {

	private final HostId id;

	private final int upstreams;

	private final NettyPeerTransport transport;

	private final ControlRuntime control;

	private final HttpClient client;

	private final Map<Long, Long> inForceNanos = new ConcurrentHashMap<>();

	private final Random random;

	private volatile boolean cutFromPlatform;

	FleetHost(int number, int upstreams, EventLoopGroup loops, Vertx vertx, String logUrl, String listUrl) {
		this.id = HostId.of("host-" + number);
		this.upstreams = upstreams;
		this.random = new Random(number);
		PeerIdentity identity = new PeerIdentity(this.id, 1, FailureDomain.of("domain-a"), Region.of("region-a"));
		this.transport = NettyPeerTransport.builder()
			.identity(identity)
			.listenAddress("127.0.0.1:0")
			.eventLoops(loops)
			.build();
		this.transport.start();
		this.client = vertx.createHttpClient();
		Duration timeout = Duration.ofSeconds(1);
		LogService log = HttpLogService.of(vertx, this.client, logUrl, timeout);
		HostDirectory list = HttpHostDirectory.of(vertx, this.client, listUrl, timeout);
		this.control = ControlRuntime.builder()
			.identity(identity, this.transport.getAddress())
			.options(FleetRun.getOptions())
			.transport(this.transport, this.transport)
			.platform(() -> (this.cutFromPlatform) ? unavailable() : list.list(), switchable(log))
			.build();
		this.control.addDigestSource(this::contribute);
		this.control.addConfigurationListener((c) -> this.inForceNanos.putIfAbsent(c.version(), System.nanoTime()));
	}

	HostId getId() {
		return this.id;
	}

	String getAddress() {
		return this.transport.getAddress();
	}

	ControlRuntime getControl() {
		return this.control;
	}

	long getBytes() {
		return this.transport.getTraffic().getBytesSent() + this.transport.getTraffic().getBytesReceived();
	}

	Long getInForceNanos(long version) {
		return this.inForceNanos.get(version);
	}

	void cutFromPlatform(boolean value) {
		this.cutFromPlatform = value;
	}

	@Override
	public void close() {
		this.control.close();
		this.transport.close();
		this.client.close();
	}

	private void contribute(Digest.Builder digest) {
		for (int i = 0; i < this.upstreams; i++) {
			digest.addUpstreams(UpstreamView.newBuilder()
				.setUpstream("runner-" + i)
				.setIncarnation(1)
				.setInFlightOnline(this.random.nextInt(8))
				.setInFlightBatch(16 + this.random.nextInt(16))
				.setLimit(32));
		}
		digest.addServices(ServiceView.newBuilder()
			.setService("runokieli")
			.setOnlineArrivalsPerS(this.random.nextDouble())
			.setSpareSlots(9));
		digest.addServices(ServiceView.newBuilder()
			.setService("kortti")
			.setOnlineArrivalsPerS(this.random.nextDouble())
			.setSpareSlots(4));
	}

	private LogService switchable(LogService log) {
		return new LogService() {
			@Override
			public Uni<Long> append(StreamName stream, byte[] record) {
				return (FleetHost.this.cutFromPlatform) ? unavailable() : log.append(stream, record);
			}

			@Override
			public Uni<LogSlice> read(StreamName stream, long fromOffset, int maxRecords) {
				return (FleetHost.this.cutFromPlatform) ? unavailable() : log.read(stream, fromOffset, maxRecords);
			}
		};
	}

	private static <T> Uni<T> unavailable() {
		return Uni.createFrom()
			.failure(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "cut from the platform", null));
	}

}
