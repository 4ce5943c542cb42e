package org.wigeonglade.gateway.host;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.hash.Hashing;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.wigeonglade.core.error.FailureText;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.RunnerLifetime;
import org.wigeonglade.gateway.fleet.SoftwareVersion;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.online.OnlineContext;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.KeyedSlice;
import org.wigeonglade.gateway.store.PartitionedLog;
import org.wigeonglade.gateway.store.RecordWriter;
import org.wigeonglade.gateway.stream.StreamOrigin;
import org.wigeonglade.gateway.stream.StreamOriginIndex;
import org.wigeonglade.schema.generated.gateway.OriginRecord;

/**
 * Keeps what began each stream in the store, so that callers can resume a stream at any
 * host, also after the loss of all hosts. Origins are written while the stream goes on
 * and read only when a stream is resumed. Confined to the event loop.
 */
final class StreamOriginLog implements OnlineContext.StreamOrigins {

	private static final EventLogger LOG = EventLogger.of(StreamOriginLog.class);

	/**
	 * Time in milliseconds after which a partition is read again if it lacks an origin:
	 * the host that began the stream may be writing it.
	 */
	private static final long SECOND_READ_DELAY_MILLIS = 50;

	/** Time in milliseconds after which a search ends without a result. */
	private static final long SEARCH_TIMEOUT_MILLIS = 500;

	private final PartitionedLog log;

	private final EventLoop loop;

	private final Ticker ticker;

	private final StreamOriginIndex index = new StreamOriginIndex();

	private final List<Partition> partitions = new ArrayList<>();

	StreamOriginLog(PartitionedLog log, EventLoop loop, Ticker ticker) {
		this.log = log;
		this.loop = loop;
		this.ticker = ticker;
		for (int i = 0; i < log.getPartitionCount(); i++) {
			this.partitions.add(new Partition(i));
		}
	}

	@Override
	public void record(String stream, StreamOrigin origin) {
		String key = keyOf(stream);
		this.index.add(key, origin, this.ticker.millis());
		byte[] value = write(origin).toByteArray();
		partitionOf(key).writer.add(() -> this.index.find(key).isPresent() ? KeyedRecord.of(key, value) : null);
	}

	@Override
	public void find(String stream, Consumer<Optional<StreamOrigin>> listener) {
		String key = keyOf(stream);
		Optional<StreamOrigin> known = this.index.find(key);
		if (known.isPresent()) {
			listener.accept(known);
		}
		else {
			partitionOf(key).search(new Search(key, listener));
		}
	}

	/**
	 * Returns the number of origins that the store has not acknowledged yet.
	 * @return the number, including the appends in flight
	 */
	int getPendingCount() {
		return this.partitions.stream().mapToInt((partition) -> partition.writer.getPendingCount()).sum();
	}

	// Ids are of any length, but keys are not.
	private static String keyOf(String stream) {
		return Hashing.murmur3_128().hashString(stream, StandardCharsets.UTF_8).toString();
	}

	private static OriginRecord write(StreamOrigin origin) {
		OriginRecord.Builder record = OriginRecord.newBuilder()
			.setService(origin.service().value())
			.setVersion(origin.version().value());
		origin.process()
			.ifPresent((process) -> record.setRunner(process.runner().value()).setStartedMs(process.startedMillis()));
		return record.build();
	}

	private static StreamOrigin read(OriginRecord record) {
		ServiceName service = ServiceName.of(record.getService());
		SoftwareVersion version = SoftwareVersion.of(record.getVersion());
		return version.isKnown() ? StreamOrigin.ofVersion(service, version) : StreamOrigin.ofProcess(service,
				new RunnerLifetime(RunnerId.of(record.getRunner()), record.getStartedMs()));
	}

	private Partition partitionOf(String key) {
		return this.partitions.get(Math.floorMod(key.hashCode(), this.partitions.size()));
	}

	private void apply(KeyedRecord record) {
		try {
			this.index.add(record.key(), read(OriginRecord.parseFrom(record.value())), this.ticker.millis());
		}
		catch (InvalidProtocolBufferException | RuntimeException ex) {
			LOG.log(GatewayEvent.RECORD_INVALID, ex, record.offset(), record.key());
		}
	}

	/**
	 * One partition of the log. Searches that begin during a read share the next one.
	 */
	private final class Partition {

		private final int number;

		private final RecordWriter writer;

		private final List<Search> waiting = new ArrayList<>();

		private long next;

		private boolean reading;

		private Partition(int number) {
			this.number = number;
			this.writer = new RecordWriter((records) -> StreamOriginLog.this.log.append(number, records),
					StreamOriginLog.this.loop, StreamOriginLog.this.ticker);
		}

		private void search(Search search) {
			search.timeout = StreamOriginLog.this.loop.schedule(() -> {
				this.waiting.remove(search);
				search.end(Optional.empty());
			}, SEARCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			this.waiting.add(search);
			read();
		}

		private void read() {
			if (this.reading || this.waiting.isEmpty()) {
				return;
			}
			this.reading = true;
			List<Search> served = List.copyOf(this.waiting);
			StreamOriginLog.this.log.read(this.number, this.next)
				.subscribe()
				.with((slice) -> StreamOriginLog.this.loop.execute(() -> readCompleted(slice, served)),
						(failure) -> StreamOriginLog.this.loop.execute(() -> readFailed(failure)));
		}

		private void readCompleted(KeyedSlice slice, List<Search> served) {
			this.reading = false;
			this.next = slice.next();
			slice.records().forEach(StreamOriginLog.this::apply);
			if (slice.next() < slice.end()) {
				read();
				return;
			}
			for (Search search : served) {
				Optional<StreamOrigin> origin = StreamOriginLog.this.index.find(search.key);
				if (origin.isPresent() || ++search.reads > 1) {
					this.waiting.remove(search);
					search.end(origin);
				}
			}
			if (this.waiting.stream().anyMatch((search) -> search.reads == 0)) {
				read();
			}
			else if (!this.waiting.isEmpty()) {
				StreamOriginLog.this.loop.schedule(this::read, SECOND_READ_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

		private void readFailed(Throwable failure) {
			LOG.log(GatewayEvent.ORIGINS_UNREADABLE, this.number, this.waiting.size(), FailureText.of(failure));
			this.reading = false;
			List<Search> failed = List.copyOf(this.waiting);
			this.waiting.clear();
			failed.forEach((search) -> search.end(Optional.empty()));
		}

	}

	/**
	 * A search for the origin of one stream.
	 */
	private static final class Search {

		private final String key;

		private final Consumer<Optional<StreamOrigin>> listener;

		private ScheduledFuture<?> timeout;

		private int reads;

		private boolean ended;

		private Search(String key, Consumer<Optional<StreamOrigin>> listener) {
			this.key = key;
			this.listener = listener;
		}

		private void end(Optional<StreamOrigin> origin) {
			if (!this.ended) {
				this.ended = true;
				this.timeout.cancel(false);
				this.listener.accept(origin);
			}
		}

	}

}
