package org.wigeonglade.bench.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

import io.smallrye.mutiny.Multi;
import io.vertx.core.Vertx;
import org.wigeonglade.adapters.http.HttpClients;
import org.wigeonglade.adapters.log.HttpLogService;
import org.wigeonglade.core.config.VersionedConfiguration;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.entry.batch.BatchRuntime;
import org.wigeonglade.entry.batch.JobStatus;
import org.wigeonglade.entry.batch.JobSubmission;
import org.wigeonglade.entry.batch.JobUpload;
import org.wigeonglade.schema.generated.settings.BudgetConfiguration;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.Profile;
import org.wigeonglade.schema.generated.settings.ServiceConfiguration;
import org.wigeonglade.schema.generated.settings.TimingSettings;
import org.wigeonglade.standins.log.LogStandIn;

/**
 * Batch runtimes of several hosts in one process, with the stand-in of the log over HTTP
 * and a transport between hosts without sockets. A killed host stays in the view of the
 * others for the time of a lost digest.
 */
public final class BatchFleet implements AutoCloseable {

	/** Workspace of the jobs. */
	public static final WorkspaceId WORKSPACE = WorkspaceId.of("parish");

	/** Service whose items may be repeated. */
	public static final String IDEMPOTENT = "lm-rotulo";

	/** Service whose items must run at most once. */
	public static final String ONCE = "studio-app";

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private static final Duration LOG_TIMEOUT = Duration.ofSeconds(2);

	private static final int LEASE_MILLIS = 600;

	private static final int SILENT_MILLIS = 400;

	private static final int PIECE_BYTES = 64 * 1024;

	private static final int DEADLINE_MILLIS = 24 * 3600 * 1000;

	private final Vertx vertx = Vertx.vertx();

	private final LogStandIn log;

	private final LocalPeers peers = new LocalPeers();

	private final Map<HostId, BatchRuntime> hosts = new LinkedHashMap<>();

	private final Map<HostId, Long> lostMillis = new ConcurrentHashMap<>();

	private final Map<HostId, Long> incarnations = new ConcurrentHashMap<>();

	private final FleetConfiguration configuration;

	private final long retainedRecords;

	private final Duration retainedFor;

	private long nextIncarnation = 1;

	private BatchFleet(int partitions, int appendsPerSecond, UnaryOperator<LogStandIn.Builder> logSettings,
			long retainedRecords, Duration retainedFor) {
		this.log = logSettings.apply(LogStandIn.builder().vertx(this.vertx)).start();
		this.configuration = configuration(partitions, appendsPerSecond);
		this.retainedRecords = retainedRecords;
		this.retainedFor = retainedFor;
	}

	/**
	 * Starts the runtimes.
	 * @param hosts the number of hosts
	 * @param partitions the number of partitions
	 * @param appendsPerSecond the append budget
	 * @return a running fleet
	 */
	public static BatchFleet start(int hosts, int partitions, int appendsPerSecond) {
		return start(hosts, partitions, appendsPerSecond, UnaryOperator.identity(), Integer.MAX_VALUE, Duration.ZERO);
	}

	static BatchFleet start(int hosts, int partitions, int appendsPerSecond,
			UnaryOperator<LogStandIn.Builder> logSettings, long retainedRecords, Duration retainedFor) {
		BatchFleet fleet = new BatchFleet(partitions, appendsPerSecond, logSettings, retainedRecords, retainedFor);
		for (int i = 0; i < hosts; i++) {
			fleet.add("host-" + i);
		}
		return fleet;
	}

	/**
	 * Starts a host, or a new incarnation of one that was lost.
	 * @param name the host
	 */
	public void add(String name) {
		HostId id = HostId.of(name);
		long incarnation = this.nextIncarnation++;
		TimingSettings timing = new TimingSettings().withPartitionLeaseMs(LEASE_MILLIS)
			.withWorkLeaseMs(1000)
			.withLogPollMs(50)
			.withGroupCommitMs(10);
		HostSettings settings = new HostSettings().withHost(name).withTiming(timing);
		LogService service = HttpLogService.of(this.vertx, HttpClients.create(this.vertx, LOG_TIMEOUT), this.log.url(),
				LOG_TIMEOUT);
		this.incarnations.put(id, incarnation);
		this.lostMillis.remove(id);
		BatchRuntime runtime = BatchRuntime.builder(settings)
			.withIncarnation(incarnation)
			.withLog(service)
			.withPeers(this.peers.join(id))
			.withFleet(this::view)
			.withConfiguration(() -> new VersionedConfiguration(1, this.configuration))

			.withRetention(this.retainedRecords, this.retainedFor,
					Math.min(4096, Math.max(8, this.retainedRecords / 4)))
			.build();
		synchronized (this.hosts) {
			this.hosts.put(id, runtime);
		}
		runtime.start().await().atMost(LIMIT);
	}

	/**
	 * Drops a host without handover.
	 * @param name the host
	 */
	public void kill(String name) {
		HostId id = HostId.of(name);
		BatchRuntime runtime = get(name);
		this.peers.leave(id);
		runtime.kill();
		this.lostMillis.put(id, Ticker.system().millis());
	}

	/**
	 * Returns the names of the live hosts.
	 * @return a copy
	 */
	public List<String> live() {
		synchronized (this.hosts) {
			return this.hosts.keySet()
				.stream()
				.filter((id) -> !this.lostMillis.containsKey(id))
				.map(HostId::value)
				.toList();
		}
	}

	/**
	 * Returns the runtime of a host.
	 * @param name the host
	 * @return the runtime
	 */
	public BatchRuntime get(String name) {
		synchronized (this.hosts) {
			return this.hosts.get(HostId.of(name));
		}
	}

	/**
	 * Returns the log.
	 * @return the stand-in
	 */
	public LogStandIn log() {
		return this.log;
	}

	/**
	 * Submits a job and waits for its acceptance.
	 * @param name the host to submit to
	 * @param key the idempotency key, empty for none
	 * @param body the JSON Lines
	 * @return the accepted job
	 */
	public JobStatus submit(String name, String key, byte[] body) {
		JobUpload upload = get(name).submit(new JobSubmission(WORKSPACE, key));
		for (int from = 0; from < body.length; from += PIECE_BYTES) {
			byte[] piece = Arrays.copyOfRange(body, from, Math.min(body.length, from + PIECE_BYTES));
			upload.write(piece).await().atMost(LIMIT);
		}
		return upload.finish().await().atMost(LIMIT);
	}

	/**
	 * Reads the status of a job.
	 * @param name the host to ask
	 * @param id the job
	 * @return the status
	 */
	public JobStatus status(String name, BatchId id) {
		return get(name).status(WORKSPACE, id).await().atMost(LIMIT);
	}

	/**
	 * Reads all result lines of a job.
	 * @param name the host to ask
	 * @param id the job
	 * @return the lines
	 */
	public List<String> results(String name, BatchId id) {
		Multi<byte[]> pieces = get(name).results(WORKSPACE, id);
		List<String> lines = new ArrayList<>();
		pieces.subscribe()
			.asStream()
			.forEach((piece) -> lines.addAll(List.of(new String(piece, StandardCharsets.UTF_8).split("\n"))));
		return lines;
	}

	@Override
	public void close() {
		live().forEach(this::kill);
		this.peers.close();
		this.log.stop();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private FleetView view() {
		long now = Ticker.system().millis();
		List<HostMember> members = new ArrayList<>();
		synchronized (this.hosts) {
			for (HostId id : this.hosts.keySet()) {
				long seen = this.lostMillis.getOrDefault(id, now);
				if (now - seen <= SILENT_MILLIS) {
					members.add(new HostMember(id, this.incarnations.get(id), FailureDomain.of("domain-a"),
							Region.of("region"), "", false, 1, seen));
				}
			}
		}
		return new FleetView(members, List.of(), true);
	}

	private static FleetConfiguration configuration(int partitions, int appendsPerSecond) {
		return new FleetConfiguration()
			.withProfiles(List.of(profile("overnight", true), profile("overnight-once", false)))
			.withServices(List.of(service(IDEMPOTENT, "overnight"), service(ONCE, "overnight-once")))
			.withWorkspaces(List.of())
			.withBudgets(new BudgetConfiguration().withPartitions(partitions).withAppendsPerSecond(appendsPerSecond));
	}

	private static Profile profile(String name, boolean idempotent) {
		return new Profile().withName(name)
			.withWords("Unattended work that uses idle capacity.")
			.withPriority(Profile.Priority.BATCH)
			.withIdempotent(idempotent)
			.withDeadlineMs(DEADLINE_MILLIS);
	}

	private static ServiceConfiguration service(String name, String profile) {
		return new ServiceConfiguration().withName(name)
			.withKind(ServiceConfiguration.Kind.MODEL)
			.withProfile(profile)
			.withBatchProfile(profile);
	}

}
