package org.wigeonglade.bench.demo;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.wigeonglade.adapters.engine.HttpEngineClient;
import org.wigeonglade.adapters.hosts.HttpHostDirectory;
import org.wigeonglade.adapters.http.HttpClients;
import org.wigeonglade.adapters.service.HttpServiceClient;
import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.engine.ServiceClient;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.entry.host.EntryHost;
import org.wigeonglade.entry.online.UpstreamClients;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Starts entry hosts in this process, as the daemon does in its own.
 */
public final class EntryHostStarter implements FleetHostStarter {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private EntryHostStarter() {
	}

	/**
	 * Returns a starter.
	 * @return a starter, never null
	 */
	public static EntryHostStarter create() {
		return new EntryHostStarter();
	}

	@Override
	public FleetHost start(HostSettings settings, FleetConfiguration configuration) {
		Duration timeout = Duration.ofMillis(settings.getPlatform().getTimeoutMs());
		EntryHost host = EntryHost.builder(settings)
			.withInitialConfiguration(configuration)
			.withDirectory((vertx) -> HttpHostDirectory.of(vertx, HttpClients.create(vertx, CONNECT_TIMEOUT),
					settings.getPlatform().getHostListUrl(), timeout))
			.withClients(HttpUpstreamClients::new)
			.build();
		host.start();
		return new RunningHost(host);
	}

	private record RunningHost(EntryHost host) implements FleetHost {

		@Override
		public int callerPort() {
			return this.host.getCallerPort();
		}

		@Override
		public int operatorPort() {
			return this.host.getOperatorPort();
		}

		@Override
		public int peerPort() {
			return this.host.getPeerPort();
		}

		@Override
		public void stop() {
			this.host.stop();
		}

		@Override
		public void kill() {
			this.host.kill();
		}

	}

	private static final class HttpUpstreamClients implements UpstreamClients {

		private final Vertx vertx;

		private final HttpClient online;

		private final HttpClient batch;

		private HttpUpstreamClients(Vertx vertx) {
			this.vertx = vertx;
			this.online = HttpClients.create(vertx, CONNECT_TIMEOUT);
			this.batch = HttpClients.create(vertx, CONNECT_TIMEOUT);
		}

		@Override
		public EngineClient engine(UpstreamMember runner, LinkPurpose purpose) {
			HttpClient client = (purpose == LinkPurpose.BATCH) ? this.batch : this.online;
			return HttpEngineClient.of(this.vertx, client, runner.address());
		}

		@Override
		public ServiceClient service(UpstreamMember instance) {
			return HttpServiceClient.of(this.vertx, this.online, instance.address());
		}

	}

}
