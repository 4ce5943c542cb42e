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
 * Simulated platform that keeps log streams and the host list in memory. It can be
 * unavailable to all hosts or to one, and can lose the response of an append that took
 * effect.
 */
final class SimulatedPlatform {

	private final Map<StreamName, List<byte[]>> streams = new HashMap<>();

	private final Map<StreamName, Long> oldestOffsets = new HashMap<>();

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

	void addHost(ListedHost host) {
		this.listed.put(host.name(), host);
	}

	void expireBefore(StreamName stream, long offset) {
		this.oldestOffsets.put(stream, offset);
	}

	long getHeadOffset(StreamName stream) {
		return this.streams.getOrDefault(stream, List.of()).size();
	}

	HostDirectory directoryFor(HostId host) {
		return () -> (isUnavailable(host)) ? fail(ErrorCode.PLATFORM_UNAVAILABLE)
				: Uni.createFrom().item(List.copyOf(this.listed.values()));
	}

	LogService logFor(HostId host) {
		return new LogService() {
			@Override
			public Uni<Long> append(StreamName stream, byte[] record) {
				if (isUnavailable(host)) {
					return fail(ErrorCode.PLATFORM_UNAVAILABLE);
				}
				List<byte[]> records = SimulatedPlatform.this.streams.computeIfAbsent(stream, (s) -> new ArrayList<>());
				records.add(record);
				if (SimulatedPlatform.this.lostResponses > 0) {
					SimulatedPlatform.this.lostResponses--;
					return fail(ErrorCode.PLATFORM_UNKNOWN);
				}
				return Uni.createFrom().item((long) records.size() - 1);
			}

			@Override
			public Uni<LogSlice> read(StreamName stream, long fromOffset, int maxRecords) {
				return (isUnavailable(host)) ? fail(ErrorCode.PLATFORM_UNAVAILABLE)
						: Uni.createFrom().item(readSlice(stream, fromOffset, maxRecords));
			}
		};
	}

	private LogSlice readSlice(StreamName stream, long from, int max) {
		List<byte[]> records = this.streams.getOrDefault(stream, List.of());
		long first = this.oldestOffsets.getOrDefault(stream, 0L);
		List<StoredRecord> found = new ArrayList<>();
		for (long i = Math.max(from, first); i < records.size() && found.size() < max; i++) {
			found.add(new StoredRecord(i, records.get((int) i)));
		}
		return new LogSlice(found, first, records.size());
	}

	private boolean isUnavailable(HostId host) {
		return this.outage || this.unreachable.contains(host);
	}

	private static <T> Uni<T> fail(ErrorCode code) {
		return Uni.createFrom().failure(new PlatformException(code, "simulated outage", null));
	}

}
