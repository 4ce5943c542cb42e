package org.wigeonglade.gateway.host;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RequestLimit;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.peer.PeerStateExchange;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.RecordWriter;
import org.wigeonglade.schema.generated.gateway.RunnerLimit;

/**
 * Shares the limits of runners with the other hosts: by datagram when they change and
 * when a host has become alive, and in the gateway stream for hosts that start when no
 * other host knows them. Confined to the event loop.
 */
final class RequestLimitPublisher {

	/** Key prefix of the records of limits in the gateway stream. */
	static final String KEY_PREFIX = "l/";

	/**
	 * Time in milliseconds for which the datagrams of a changed limit are repeated,
	 * because some are lost.
	 */
	private static final long REPEAT_MILLIS = 2_000;

	private final Fleet fleet;

	private final PeerStateExchange exchange;

	private final RecordWriter writer;

	private final Ticker ticker;

	private final Map<String, RequestLimit> records = new HashMap<>();

	private final Map<RunnerId, Long> publishedMillis = new HashMap<>();

	private Set<String> missingBefore = Set.of();

	RequestLimitPublisher(Fleet fleet, PeerStateExchange exchange, RecordWriter writer, Ticker ticker) {
		this.fleet = fleet;
		this.exchange = exchange;
		this.writer = writer;
		this.ticker = ticker;
		fleet.onRequestLimitChanged(this::publish);
	}

	/**
	 * Applies a limit that another host reports.
	 * @param limit the limit, not null
	 * @param source the reporting host, for the log; not null
	 */
	void apply(RunnerLimit limit, String source) {
		this.fleet.applyRequestLimit(read(limit), source);
	}

	/**
	 * Applies a record of a limit from the gateway stream.
	 * @param record the record, not null
	 * @throws InvalidProtocolBufferException if it cannot be decoded
	 */
	void applyRecord(KeyedRecord record) throws InvalidProtocolBufferException {
		if (record.value() == null) {
			this.records.remove(record.key());
			return;
		}
		RequestLimit limit = read(RunnerLimit.parseFrom(record.value()));
		this.records.put(record.key(), limit);
		this.fleet.applyRequestLimit(limit, "the gateway stream");
	}

	/**
	 * Forgets which records the gateway stream holds, before it is listed again.
	 */
	void resetRecords() {
		this.records.clear();
	}

	/**
	 * Repeats the limits that have changed recently to the other hosts.
	 */
	void repeat() {
		long now = this.ticker.millis();
		this.publishedMillis.values().removeIf((published) -> now - published > REPEAT_MILLIS);
		if (!this.publishedMillis.isEmpty()) {
			this.exchange.sendLimits(writeAll((limit) -> this.publishedMillis.containsKey(limit.runner())));
		}
	}

	/**
	 * Sends all limits to a host that has become alive.
	 * @param host the host, not null
	 */
	void sendAll(HostId host) {
		List<RunnerLimit> limits = writeAll((limit) -> limit.requestsPerSecond().isPresent());
		if (!limits.isEmpty()) {
			this.exchange.sendLimits(host, limits);
		}
	}

	/**
	 * Removes the records of limits that have ended, and of runners that are gone, from
	 * the gateway stream. A runner counts as gone if it is missing at two calls in a row,
	 * since its limit may be known before its registration is read.
	 * @param runnersCurrent whether the registrations of runners were read recently
	 */
	void removeObsoleteRecords(boolean runnersCurrent) {
		Set<String> missing = new HashSet<>();
		this.records.forEach((key, limit) -> {
			if (runnersCurrent && this.fleet.getDirectory().find(limit.runner()).isEmpty()) {
				missing.add(key);
			}
			if (limit.requestsPerSecond().isEmpty() || (missing.contains(key) && this.missingBefore.contains(key))) {
				this.writer.add(() -> limit.equals(this.records.get(key)) ? KeyedRecord.of(key, null) : null);
			}
		});
		this.missingBefore = missing;
	}

	private void publish(RunnerId runner) {
		this.publishedMillis.put(runner, this.ticker.millis());
		this.exchange.sendLimits(writeAll((limit) -> limit.runner().equals(runner)));
		this.writer.add(() -> writeAll((limit) -> limit.runner().equals(runner)).stream()
			.findFirst()
			.map((limit) -> KeyedRecord.of(KEY_PREFIX + runner, limit.toByteArray()))
			.orElse(null));
	}

	private List<RunnerLimit> writeAll(Predicate<RequestLimit> selected) {
		return this.fleet.getRequestLimits()
			.getLimits()
			.stream()
			.filter(selected)
			.map(RequestLimitPublisher::write)
			.toList();
	}

	private static RunnerLimit write(RequestLimit limit) {
		RunnerLimit.Builder message = RunnerLimit.newBuilder()
			.setRunner(limit.runner().value())
			.setRunnerStartedMs(limit.startedMillis())
			.setObservedAtMs(limit.observedMillis());
		limit.requestsPerSecond().ifPresent(message::setRequestsPerS);
		return message.build();
	}

	private static RequestLimit read(RunnerLimit message) {
		return new RequestLimit(RunnerId.of(message.getRunner()), message.getRunnerStartedMs(),
				message.hasRequestsPerS() ? OptionalDouble.of(message.getRequestsPerS()) : OptionalDouble.empty(),
				message.getObservedAtMs());
	}

}
