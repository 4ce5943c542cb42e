package org.wigeonglade.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.platform.StoredRecord;

/**
 * Keeps streams and the host list in memory. Outages apply to all hosts or to one, and
 * the response of an append can be lost after it took effect.
 */
final class SimulatedPlatform {

	private final Map<StreamName, List<byte[]>> streams = new HashMap<>();

	private final Map<StreamName, Long> oldest = new HashMap<>();

	private final Map<String, ListedHost> listed = new TreeMap<>();

	private final Set<HostId> unreachable = new HashSet<>();

	private boolean outage;

	private int lostResponses;

	void setOutage(boolean value) {
		this.outage = value;
	}

	void setUnreachable(HostId host, boolean value) {
		if (value) {
			this.unreachable.add(host);
		}
		else {
			this.unreachable.remove(host);
		}
	}

	void loseResponses(int count) {
		this.lostResponses = count;
	}

	void list(ListedHost host) {
		this.listed.put(host.name(), host);
	}

	void expireBefore(StreamName stream, long offset) {
		this.oldest.put(stream, offset);
	}

	long getHead(StreamName stream) {
		return this.streams.getOrDefault(stream, List.of()).size();
	}

	HostDirectory directoryFor(HostId host) {
		return () -> (isDown(host)) ? down(ErrorCode.PLATFORM_UNAVAILABLE)
				: Uni.createFrom().item(List.copyOf(this.listed.values()));
	}

	LogService logFor(HostId host) {
		return new LogService() {
			@Override
			public Uni<Long> append(StreamName stream, byte[] record) {
				if (isDown(host)) {
					return down(ErrorCode.PLATFORM_UNAVAILABLE);
				}
				List<byte[]> records = SimulatedPlatform.this.streams.computeIfAbsent(stream, (s) -> new ArrayList<>());
				records.add(record);
				if (SimulatedPlatform.this.lostResponses > 0) {
					SimulatedPlatform.this.lostResponses--;
					return down(ErrorCode.PLATFORM_UNKNOWN);
				}
				return Uni.createFrom().item((long) records.size() - 1);
			}

			@Override
			public Uni<LogSlice> read(StreamName stream, long fromOffset, int maxRecords) {
				return (isDown(host)) ? down(ErrorCode.PLATFORM_UNAVAILABLE)
						: Uni.createFrom().item(slice(stream, fromOffset, maxRecords));
			}
		};
	}

	private LogSlice slice(StreamName stream, long from, int max) {
		List<byte[]> records = this.streams.getOrDefault(stream, List.of());
		long first = this.oldest.getOrDefault(stream, 0L);
		List<StoredRecord> found = new ArrayList<>();
		for (long i = Math.max(from, first); i < records.size() && found.size() < max; i++) {
			found.add(new StoredRecord(i, records.get((int) i)));
		}
		return new LogSlice(found, first, records.size());
	}

	private boolean isDown(HostId host) {
		return this.outage || this.unreachable.contains(host);
	}

	private static <T> Uni<T> down(ErrorCode code) {
		return Uni.createFrom().failure(new PlatformException(code, "simulated outage", null));
	}

}
