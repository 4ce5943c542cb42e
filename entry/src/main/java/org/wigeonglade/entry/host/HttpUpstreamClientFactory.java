package org.wigeonglade.entry.host;

import java.time.Duration;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.wigeonglade.adapters.engine.HttpEngineClient;
import org.wigeonglade.adapters.http.HttpClients;
import org.wigeonglade.adapters.service.HttpServiceClient;
import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.engine.ServiceClient;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.entry.online.UpstreamClientFactory;
import org.wigeonglade.schema.generated.peer.LinkPurpose;

/**
 * Factory of HTTP clients for upstreams. Online requests, batch work and calls of
 * services have separate connection pools.
 */
final class HttpUpstreamClientFactory implements UpstreamClientFactory {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final Vertx vertx;

	private final HttpClient online;

	private final HttpClient batch;

	private final HttpClient services;

	HttpUpstreamClientFactory(Vertx vertx) {
		this.vertx = vertx;
		this.online = HttpClients.create(vertx, CONNECT_TIMEOUT);
		this.batch = HttpClients.create(vertx, CONNECT_TIMEOUT);
		this.services = HttpClients.create(vertx, CONNECT_TIMEOUT);
	}

	@Override
	public EngineClient createEngineClient(UpstreamMember runner, LinkPurpose purpose) {
		return HttpEngineClient.of(this.vertx, (purpose == LinkPurpose.BATCH) ? this.batch : this.online,
				runner.address());
	}

	@Override
	public ServiceClient createServiceClient(UpstreamMember instance) {
		return HttpServiceClient.of(this.vertx, this.services, instance.address());
	}

}
