package org.wigeonglade.gateway.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.UpstreamIncarnation;
import org.wigeonglade.core.retry.CrashEvidence;
import org.wigeonglade.core.retry.CrashReport;
import org.wigeonglade.core.retry.Quarantine;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.online.OnlineContext;
import org.wigeonglade.gateway.peer.PeerStateExchange;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.RecordWriter;
import org.wigeonglade.schema.generated.crash.CrashNotice;
import org.wigeonglade.schema.generated.gateway.HostEntry;

/**
 * Shares the crash evidence of all hosts. Reports reach the live hosts by datagram at
 * once, and the gateway stream keeps them for hosts that start later. Confined to the
 * event loop.
 */
final class CrashReportPublisher implements OnlineContext.CrashReporter {

	/** Key prefix of the records of crashes in the gateway stream. */
	static final String KEY_PREFIX = "c/";

	private static final EventLogger LOG = EventLogger.of(CrashReportPublisher.class);

	/**
	 * Time in milliseconds during which reports are collected: the requests of a runner
	 * fail one after the other.
	 */
	private static final long COALESCING_MILLIS = 5;

	/**
	 * Times in milliseconds after which the datagrams of a report are repeated, because
	 * some are lost.
	 */
	private static final long[] REPEAT_MILLIS = { 100, 400 };

	private final CrashEvidence evidence = new CrashEvidence();

	private final Map<UpstreamIncarnation, CrashReport> own = new HashMap<>();

	private final Set<UpstreamIncarnation> unpublished = new HashSet<>();

	private final Map<String, CrashReport> records = new LinkedHashMap<>();

	private final String recordSuffix;

	private final PeerStateExchange exchange;

	private final RecordWriter writer;

	private final EventLoop loop;

	private final Ticker ticker;

	private Set<Quarantine> loggedQuarantines = Set.of();

	CrashReportPublisher(HostEntry self, PeerStateExchange exchange, RecordWriter writer, EventLoop loop,
			Ticker ticker) {
		// Each life of a host has records of its own, or it would overwrite what it
		// reported before its restart.
		this.recordSuffix = "/" + self.getHost() + "." + self.getIncarnation();
		this.exchange = exchange;
		this.writer = writer;
		this.loop = loop;
		this.ticker = ticker;
	}

	@Override
	public void reportCrash(RunnerEntry runner, List<Fingerprint> suspects, boolean progressed) {
		UpstreamIncarnation upstream = incarnationOf(runner);
		long now = this.ticker.wallMillis();
		publish(progressed ? CrashReport.ofCleared(upstream, now, suspects)
				: this.evidence.createReport(upstream, suspects, now));
	}

	@Override
	public void reportUnreachable(RunnerEntry runner) {
		this.evidence.recordUnreachable(incarnationOf(runner), this.ticker.wallMillis()).ifPresent(this::publish);
	}

	@Override
	public void reportServed(RunnerEntry runner, List<Fingerprint> suspects, long sentMillis) {
		long now = this.ticker.wallMillis();
		this.evidence.recordSurvived(incarnationOf(runner), sentMillis, now).ifPresent(this::publish);
		this.evidence.recordServed(suspects, now).forEach(this::publish);
	}

	@Override
	public Optional<Quarantine> findQuarantine(List<Fingerprint> suspects) {
		return this.evidence.findQuarantine(suspects);
	}

	/**
	 * Applies a report of another host.
	 * @param notice the report, not null
	 */
	void apply(CrashNotice notice) {
		add(CrashReport.of(notice));
	}

	/**
	 * Applies a record of a crash from the gateway stream.
	 * @param record the record, not null
	 * @throws InvalidProtocolBufferException if it cannot be decoded
	 */
	void applyRecord(KeyedRecord record) throws InvalidProtocolBufferException {
		if (record.value() == null) {
			this.records.remove(record.key());
			return;
		}
		CrashReport report = CrashReport.of(CrashNotice.parseFrom(record.value()));
		this.records.put(record.key(), report);
		add(report);
	}

	/**
	 * Forgets which records the gateway stream holds, before it is listed again.
	 */
	void resetRecords() {
		this.records.clear();
	}

	/**
	 * Sends a host that has become alive the reports that it cannot read from the gateway
	 * stream.
	 * @param host the host, not null
	 */
	void sendUnstoredReports(HostId host) {
		Set<UpstreamIncarnation> stored = this.records.values()
			.stream()
			.map(CrashReport::upstream)
			.collect(Collectors.toSet());
		this.exchange.sendCrashReports(host,
				this.evidence.getReports()
					.stream()
					.filter((report) -> !stored.contains(report.upstream()))
					.map(CrashReport::toNotice)
					.toList());
	}

	/**
	 * Drops the crashes whose retention is over.
	 */
	void expire() {
		long now = this.ticker.wallMillis();
		this.own.values().removeIf((report) -> CrashEvidence.isExpired(report, now));
		this.evidence.expire(now);
		logQuarantines();
	}

	/**
	 * Removes the records of crashes whose retention is over from the gateway stream.
	 */
	void removeExpiredRecords() {
		long now = this.ticker.wallMillis();
		this.records.forEach((key, report) -> {
			if (CrashEvidence.isExpired(report, now)) {
				this.writer.add(() -> this.records.containsKey(key) ? KeyedRecord.of(key, null) : null);
			}
		});
	}

	private void publish(CrashReport report) {
		add(report);
		this.own.merge(report.upstream(), report, CrashReport::plus);
		if (this.unpublished.isEmpty()) {
			this.loop.schedule(this::publishCollected, COALESCING_MILLIS, TimeUnit.MILLISECONDS);
		}
		this.unpublished.add(report.upstream());
	}

	private void publishCollected() {
		List<CrashReport> reports = new ArrayList<>();
		for (UpstreamIncarnation upstream : this.unpublished) {
			reports.add(this.own.get(upstream));
			String key = KEY_PREFIX + upstream + this.recordSuffix;
			this.writer.add(() -> {
				CrashReport report = this.own.get(upstream);
				return (report != null) ? KeyedRecord.of(key, report.toNotice().toByteArray()) : null;
			});
		}
		this.unpublished.clear();
		List<CrashNotice> messages = reports.stream().map(CrashReport::toNotice).toList();
		this.exchange.sendCrashReports(messages);
		for (long millis : REPEAT_MILLIS) {
			this.loop.schedule(() -> this.exchange.sendCrashReports(messages), millis, TimeUnit.MILLISECONDS);
		}
	}

	private void add(CrashReport report) {
		if (this.evidence.add(report, this.ticker.wallMillis())) {
			logQuarantines();
		}
	}

	private void logQuarantines() {
		Set<Quarantine> quarantines = this.evidence.getQuarantines();
		quarantines.stream()
			.filter((quarantine) -> !this.loggedQuarantines.contains(quarantine))
			.forEach((quarantine) -> LOG.log(GatewayEvent.QUARANTINE_BEGAN, quarantine.fingerprints(),
					quarantine.crashes(), this.evidence.findProven(quarantine.fingerprints())));
		this.loggedQuarantines.stream()
			.filter((quarantine) -> !quarantines.contains(quarantine))
			.forEach((quarantine) -> LOG.log(GatewayEvent.QUARANTINE_ENDED, quarantine.fingerprints()));
		this.loggedQuarantines = quarantines;
	}

	private static UpstreamIncarnation incarnationOf(RunnerEntry runner) {
		return UpstreamIncarnation.of(runner.id().value(), runner.startedMillis());
	}

}
