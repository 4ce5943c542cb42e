package org.wigeonglade.core.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.InvalidProtocolBufferException;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * In-memory log service with injected faults, one per append.
 */
final class FaultyLog implements LogService {

	private final Map<StreamName, List<byte[]>> streams = new HashMap<>();

	private final Deque<Fault> faults = new ArrayDeque<>();

	private final List<Runnable> delayed = new ArrayList<>();

	private boolean readable = true;

	private int calls;

	void injectFaults(Fault... injected) {
		this.faults.addAll(List.of(injected));
	}

	void setReadable(boolean readable) {
		this.readable = readable;
	}

	int getCalls() {
		return this.calls;
	}

	void deliverDelayedAppends() {
		this.delayed.forEach(Runnable::run);
		this.delayed.clear();
	}

	List<LogRecord> records(StreamName stream) {
		return stored(stream).stream().map(FaultyLog::parse).toList();
	}

	@Override
	public Uni<Long> append(StreamName stream, byte[] payload) {
		this.calls++;
		Fault fault = this.faults.isEmpty() ? Fault.NONE : this.faults.poll();
		return switch (fault) {
			case NONE -> Uni.createFrom().item(add(stream, payload));
			case LOST_ANSWER -> {
				add(stream, payload);
				yield unknown();
			}
			case LOST_REQUEST -> unknown();
			case DELAYED -> {
				this.delayed.add(() -> add(stream, payload));
				yield unknown();
			}
			case REFUSED -> Uni.createFrom()
				.failure(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "injected refusal", null));
			case NO_ANSWER -> Uni.createFrom().nothing();
		};
	}

	@Override
	public Uni<LogSlice> read(StreamName stream, long from, int maxRecords) {
		if (!this.readable) {
			return Uni.createFrom()
				.failure(new PlatformException(ErrorCode.PLATFORM_UNAVAILABLE, "injected outage", null));
		}
		List<byte[]> all = stored(stream);
		List<StoredRecord> records = new ArrayList<>();
		for (long i = from; i < Math.min(all.size(), from + maxRecords); i++) {
			records.add(new StoredRecord(i, all.get((int) i)));
		}
		return Uni.createFrom().item(new LogSlice(records, 0, all.size()));
	}

	private List<byte[]> stored(StreamName stream) {
		return this.streams.computeIfAbsent(stream, (name) -> new ArrayList<>());
	}

	private long add(StreamName stream, byte[] payload) {
		stored(stream).add(payload);
		return stored(stream).size() - 1;
	}

	private static Uni<Long> unknown() {
		return Uni.createFrom().failure(new PlatformException(ErrorCode.PLATFORM_UNKNOWN, "injected loss", null));
	}

	private static LogRecord parse(byte[] payload) {
		try {
			return LogRecord.parseFrom(payload);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Fault of one append: its answer or request is lost, it takes effect only on
	 * {@link #deliverDelayedAppends()}, it is refused, or it gets no answer.
	 */
	enum Fault {

		NONE, LOST_ANSWER, LOST_REQUEST, DELAYED, REFUSED, NO_ANSWER

	}

}
