package org.wigeonglade.entry.operator;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountEventBuffer;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.error.ConflictException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.peer.PeerHandler;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.core.time.ManualTicker;
import org.wigeonglade.schema.generated.log.AccountRecord;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.peer.Query;
import org.wigeonglade.schema.generated.peer.QueryAnswer;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Guards against an operator interface that does not report an unreachable host or log,
 * publishes an invalid configuration, or sends errors without a code.
 */
public class OperatorServerTests implements PeerTransport, LogService, ConfigurationAdmin {

	private static final String VALID_CONFIGURATION = """
			{"profiles":[{"name":"family","words":"A family waits.","priority":"online","idempotent":true}],
			"services":[{"name":"runokieli","kind":"plain","profile":"family"}],"workspaces":[]}""";

	private final HttpClient client = HttpClient.newHttpClient();

	private final ManualTicker ticker = ManualTicker.startingAt(1_767_225_600_000L);

	private final AccountEventBuffer accountEvents = AccountEventBuffer.create(HostId.of("entry-1"), 1, this.ticker,
			100);

	private final HostMetrics metrics = HostMetrics.create();

	private Vertx vertx;

	private OperatorServer server;

	private String baseUrl;

	private volatile boolean ready = true;

	private volatile boolean logAvailable = true;

	private volatile PeerHandler handler;

	@BeforeClass
	public void start() {
		this.vertx = Vertx.vertx();
		HostSettings settings = new HostSettings().withHost("entry-1")
			.withFailureDomain("fi-south-a")
			.withRegion("fi-south")
			.withOperatorAddress("127.0.0.1:0");
		FleetView view = new FleetView(List.of(member("entry-1"), member("entry-2"), member("entry-3")), List.of(),
				true);
		OperatorContext context = new OperatorContext(settings, 1, this.ticker, this.metrics, this.accountEvents,
				() -> view, () -> new VersionedConfiguration(4, new FleetConfiguration()), this, this, this,
				() -> this.ready, () -> Map.of("partitionsOwned", 2));
		this.server = OperatorServer.create(this.vertx, context);
		this.baseUrl = "http://127.0.0.1:" + this.server.start().await().atMost(Duration.ofSeconds(20));
	}

	@AfterClass(alwaysRun = true)
	public void stop() {
		this.server.stop().await().atMost(Duration.ofSeconds(20));
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	public void readinessReflectsHostState() throws Exception {
		Assert.assertEquals(get("/readyz").statusCode(), 200);
		this.ready = false;
		Assert.assertEquals(get("/readyz").statusCode(), 503);
		Assert.assertEquals(get("/healthz").statusCode(), 200);
		this.ready = true;
	}

	@Test
	public void metricsAndStatusContainValues() throws Exception {
		this.metrics.countRefusal(ErrorCode.OVERLOADED);
		this.metrics.observeFirstToken("runokieli", 300_000_000L);
		String text = get("/metrics").body();
		Assert.assertTrue(text.contains("wigeonglade_refusals_total{code=\"WG-4002\"} 1.0"), text);
		Assert.assertTrue(text.contains("le=\"0.4\"} 1"), text);
		JsonObject status = new JsonObject(get("/operator/status").body());
		Assert.assertEquals(status.getInteger("partitionsOwned"), Integer.valueOf(2));
		Assert.assertEquals(status.getJsonArray("hosts").size(), 3);
	}

	@Test
	public void accountCombinesHostsAndLogAndReportsGaps() throws Exception {
		String accepted = this.accountEvents.record(AccountCode.ACCEPTED, "request", "req-7", null, Map.of());
		this.accountEvents.record(AccountCode.COMPLETED, "request", "req-7", accepted, Map.of());
		JsonObject account = new JsonObject(get("/operator/explain?kind=request&id=req-7").body());
		Assert.assertEquals(account.getString("summary"), "The request was answered in full.");
		Assert.assertEquals(account.getJsonArray("statements").size(), 4);
		Assert.assertEquals(account.getJsonArray("gaps").size(), 1);
		Assert.assertEquals(account.getJsonArray("gaps").getJsonObject(0).getString("detail"), "entry-3");
		this.logAvailable = false;
		account = new JsonObject(get("/operator/explain?kind=request&id=req-7").body());
		this.logAvailable = true;
		Assert.assertEquals(account.getJsonArray("gaps").size(), 2);
		String page = get("/operator/account?kind=request&id=%3Cb%3E").body();
		Assert.assertTrue(page.contains("request &lt;b&gt;") && page.contains("What is not known"), page);
	}

	@Test
	public void peerQueryReturnsMatchingEvents() {
		this.accountEvents.record(AccountCode.HOST_STARTED, "host", "entry-1", null, Map.of());
		PeerFrame query = PeerFrame.newBuilder()
			.setQuery(Query.newBuilder()
				.setKindValue(2)
				.setSubjectKind("host")
				.setSubjectId("entry-1")
				.setToWallTimeMs(Long.MAX_VALUE))
			.build();
		PeerFrame reply = this.handler.handle(HostId.of("entry-2"), query).await().atMost(Duration.ofSeconds(20));
		Assert.assertTrue(reply.getQueryAnswer().getEventsCount() >= 1);
	}

	@Test
	public void onlyValidConfigurationIsPublished() throws Exception {
		HttpResponse<String> published = post("/operator/config?base=4&author=ana&reason=spring", VALID_CONFIGURATION);
		Assert.assertEquals(published.statusCode(), 200, published.body());
		Assert.assertEquals(new JsonObject(published.body()).getLong("version"), Long.valueOf(5));
		assertError(post("/operator/config?base=3&author=ana&reason=late", VALID_CONFIGURATION), 409, "WG-3009");
		assertError(post("/operator/config?base=4&author=ana&reason=x", "{}"), 400, "WG-1001");
		assertError(post("/operator/config?base=4&author=ana&reason=x", ""), 400, "WG-1002");
		assertError(post("/operator/config?base=4&author=ana", VALID_CONFIGURATION), 400, "WG-1003");
		assertError(post("/operator/config?base=x&author=ana&reason=x", VALID_CONFIGURATION), 400, "WG-1003");
		assertError(post("/operator/status", ""), 405, "WG-2008");
		assertError(get("/nothing"), 404, "WG-2004");
		assertError(get("/operator/explain?kind=engine&id=x"), 400, "WG-1003");
		assertError(get("/operator/explain?kind=period&from=yesterday"), 400, "WG-1003");
		Assert.assertTrue(get("/operator/config/history").body().contains("\"author\" : \"ana\""));
	}

	private static void assertError(HttpResponse<String> response, int status, String code) {
		Assert.assertEquals(response.statusCode(), status, response.body());
		JsonObject error = new JsonObject(response.body()).getJsonObject("error");
		Assert.assertEquals(error.getString("code"), code);
		Assert.assertEquals(error.getString("ran"), "not_run");
	}

	private HttpResponse<String> get(String path) throws IOException, InterruptedException {
		return this.client.send(HttpRequest.newBuilder(URI.create(this.baseUrl + path)).build(),
				HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> post(String path, String body) throws IOException, InterruptedException {
		return this.client.send(HttpRequest.newBuilder(URI.create(this.baseUrl + path))
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	private static HostMember member(String name) {
		return new HostMember(HostId.of(name), 1, FailureDomain.of("fi-south-a"), Region.of("fi-south"), "127.0.0.1:1",
				false, 4, 0);
	}

	private static AccountRecord event(String id, AccountCode code) {
		return AccountRecord.newBuilder()
			.setEventId(id)
			.setCode(code.getNumber())
			.setSubjectKind("request")
			.setSubjectId("req-7")
			.setWallTimeMs(1_767_225_600_000L)
			.build();
	}

	@Override
	public Uni<PeerFrame> request(HostId to, LinkPurpose purpose, PeerFrame frame, Duration timeout) {
		if (to.value().equals("entry-3")) {
			return Uni.createFrom().failure(new PeerException(ErrorCode.PEER_UNREACHABLE, "no route"));
		}
		return Uni.createFrom()
			.item(PeerFrame.newBuilder()
				.setQueryAnswer(QueryAnswer.newBuilder().addEvents(event("entry-2:1:1", AccountCode.QUEUED)))
				.build());
	}

	@Override
	public void send(HostId to, LinkPurpose purpose, PeerFrame frame) {
		throw new AssertionError("not used");
	}

	@Override
	public void handle(PeerFrame.BodyCase body, PeerHandler newHandler) {
		this.handler = newHandler;
	}

	@Override
	public Uni<Long> append(StreamName stream, byte[] record) {
		throw new AssertionError("not used");
	}

	@Override
	public Uni<LogSlice> read(StreamName stream, long fromOffset, int maxRecords) {
		if (!this.logAvailable) {
			return Uni.createFrom().failure(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "outage", null));
		}
		if (!stream.value().equals("control")) {
			return Uni.createFrom().item(new LogSlice(List.of(), 0, 0));
		}
		byte[] record = LogRecord.newBuilder()
			.addEntries(LogEntry.newBuilder().setAccountRecord(event("entry-9:1:1", AccountCode.OUTCOME_UNKNOWN)))
			.build()
			.toByteArray();
		return Uni.createFrom().item(new LogSlice(List.of(new StoredRecord(0, record)), 0, 1));
	}

	@Override
	public Uni<Long> publish(long baseVersion, byte[] body, String author, String reason) {
		return (baseVersion == 4) ? Uni.createFrom().item(5L)
				: Uni.createFrom().failure(new ConflictException(ErrorCode.CONFIG_CONFLICT, "version 4 is from ana"));
	}

	@Override
	public Uni<List<ConfigChange>> history() {
		return Uni.createFrom().item(List.of(ConfigChange.newBuilder().setVersion(5).setAuthor("ana").build()));
	}

}
