package org.wigeonglade.entry.host;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import com.google.common.hash.Hashing;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.engine.CacheEvents;
import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.engine.EngineCommand;
import org.wigeonglade.core.engine.EngineEvent;
import org.wigeonglade.core.engine.EngineRequest;
import org.wigeonglade.core.engine.LoadReport;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceClient;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.entry.online.UpstreamClientFactory;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.ModelConfiguration;
import org.wigeonglade.schema.generated.settings.PlatformSettings;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.TimingSettings;
import org.wigeonglade.schema.generated.settings.WorkspaceConfiguration;

/**
 * Builder of standalone hosts whose upstream clients are scripted and open no
 * connections.
 */
public final class HostFixture {

	public static final String KEY = "key-of-huerto";

	public static final FailureDomain DOMAIN = FailureDomain.of("fi-south-a");

	public static final Region REGION = Region.of("fi-south");

	private final List<UpstreamMember> upstreams = new ArrayList<>();

	private final Map<String, Function<EngineRequest, Multi<EngineEvent>>> engines = new ConcurrentHashMap<>();

	private final Map<String, Function<ServiceCall, Uni<ServiceReply>>> services = new ConcurrentHashMap<>();

	private final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(10)).build();

	public static FleetConfiguration configuration() {
		Profile online = new Profile().withName("counter")
			.withWords("A person waits for the answer.")
			.withPriority(Profile.Priority.ONLINE)
			.withIdempotent(true)
			.withDeadlineMs(20_000);
		Profile once = new Profile().withName("once")
			.withWords("A call must never be repeated.")
			.withPriority(Profile.Priority.ONLINE)
			.withIdempotent(false)
			.withDeadlineMs(20_000);
		return new FleetConfiguration().withProfiles(List.of(online, once))
			.withServices(List.of(
					new ServiceConfiguration().withName("runokieli")
						.withKind(ServiceConfiguration.Kind.MODEL)
						.withProfile("counter")
						.withModels(List.of(new ModelConfiguration().withName("runo-1").withVersion("1"))),
					new ServiceConfiguration().withName("korttipalvelu")
						.withKind(ServiceConfiguration.Kind.PLAIN)
						.withProfile("counter"),
					new ServiceConfiguration().withName("studio-app")
						.withKind(ServiceConfiguration.Kind.PLAIN)
						.withProfile("once")))
			.withWorkspaces(List.of(new WorkspaceConfiguration().withName("huerto")
				.withKeyHashes(List.of(Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString()))));
	}

	public static HostSettings settings() {
		return new HostSettings().withHost("host-1")
			.withFailureDomain(DOMAIN.value())
			.withRegion(REGION.value())
			.withCallerAddress("127.0.0.1:0")
			.withOperatorAddress("127.0.0.1:0")
			.withPeerAddress("127.0.0.1:0")
			.withPlatform(new PlatformSettings().withLogUrl("http://127.0.0.1:9").withHostListUrl("http://127.0.0.1:9"))
			.withTiming(new TimingSettings().withBalancerDelayMs(0).withDrainLimitMs(10_000));
	}

	public HostFixture withEngine(String name, Function<EngineRequest, Multi<EngineEvent>> script) {
		this.upstreams.add(new UpstreamMember(UpstreamId.of(name), 1, ServiceName.of("runokieli"), DOMAIN, REGION,
				"127.0.0.1:9", true, List.of("runo-1"), false));
		this.engines.put(name, script);
		return this;
	}

	public HostFixture withService(String service, String name, Function<ServiceCall, Uni<ServiceReply>> script) {
		this.upstreams.add(new UpstreamMember(UpstreamId.of(name), 1, ServiceName.of(service), DOMAIN, REGION,
				"127.0.0.1:9", false, List.of(), false));
		this.services.put(name, script);
		return this;
	}

	public HostFixture withEngineAt(String name, String address) {
		this.upstreams.add(new UpstreamMember(UpstreamId.of(name), 1, ServiceName.of("runokieli"), DOMAIN, REGION,
				address, true, List.of("runo-1"), false));
		return this;
	}

	public HostFixture withServiceAt(String service, String name, String address) {
		this.upstreams.add(new UpstreamMember(UpstreamId.of(name), 1, ServiceName.of(service), DOMAIN, REGION, address,
				false, List.of(), false));
		return this;
	}

	public EntryHostBuilder httpBuilder() {
		return builder().withClients(HttpUpstreamClientFactory::new);
	}

	public List<UpstreamMember> upstreams() {
		return List.copyOf(this.upstreams);
	}

	public EntryHostBuilder builder() {
		return builder(settings());
	}

	public EntryHostBuilder builder(HostSettings settings) {
		HostMember self = new HostMember(HostId.of("host-1"), 1, DOMAIN, REGION, "127.0.0.1:9", false, 0, 0);
		FleetView view = new FleetView(List.of(self), this.upstreams, true);
		return EntryHost.builder(settings)
			.withInitialConfiguration(configuration())
			.withFleet(() -> view)
			.withClients((vertx) -> clients());
	}

	public UpstreamClientFactory clients() {
		return new UpstreamClientFactory() {

			@Override
			public EngineClient createEngineClient(UpstreamMember runner, LinkPurpose purpose) {
				return new ScriptedEngine(HostFixture.this.engines.get(runner.id().value()));
			}

			@Override
			public ServiceClient createServiceClient(UpstreamMember instance) {
				return HostFixture.this.services.get(instance.id().value())::apply;
			}

		};
	}

	public HttpResponse<String> post(EntryHost host, String path, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + host.getCallerPort() + path))
			.timeout(Duration.ofSeconds(30))
			.header("Authorization", "Bearer " + KEY)
			.POST(HttpRequest.BodyPublishers.ofString(body));
		for (int i = 0; i < headers.length; i += 2) {
			request.setHeader(headers[i], headers[i + 1]);
		}
		try {
			return this.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	public static Multi<EngineEvent> answer(EngineRequest request) {
		List<EngineEvent> events = new ArrayList<>();
		for (int i = request.resumeTokens().size(); i < request.maxTokens(); i++) {
			events.add(new EngineEvent.Token(i, "t" + i + " "));
		}
		events.add(new EngineEvent.End("length", 3, request.maxTokens()));
		return Multi.createFrom().iterable(events);
	}

	private record ScriptedEngine(Function<EngineRequest, Multi<EngineEvent>> script) implements EngineClient {

		@Override
		public Multi<EngineEvent> run(EngineRequest request) {
			return this.script.apply(request);
		}

		@Override
		public Uni<LoadReport> load() {
			return Uni.createFrom().item(new LoadReport(8, 0, 0, 0));
		}

		@Override
		public Uni<CacheEvents> cacheEvents(long afterSequence) {
			return Uni.createFrom().item(new CacheEvents(List.of()));
		}

		@Override
		public Uni<Void> command(EngineCommand command) {
			return Uni.createFrom().voidItem();
		}

		@Override
		public Uni<byte[]> exportCache(String prefixHash) {
			return Uni.createFrom().item(new byte[0]);
		}

		@Override
		public Uni<Void> importCache(String prefixHash, byte[] cache) {
			return Uni.createFrom().voidItem();
		}

	}

}
