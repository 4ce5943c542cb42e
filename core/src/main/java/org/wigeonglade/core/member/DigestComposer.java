package org.wigeonglade.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.google.protobuf.CodedOutputStream;
import org.wigeonglade.schema.generated.peer.Digest;
import org.wigeonglade.schema.generated.peer.ServiceView;
import org.wigeonglade.schema.generated.peer.UpstreamView;

/**
 * Selection of the load entries of a digest within a size limit. Entries that changed
 * most since they were last sent come first, and every entry is sent in turn; receivers
 * keep the last value of each. Leaving upstreams and partitions are always sent. Not
 * thread-safe.
 */
public final class DigestComposer {

	/** Upper bound of the encoded field tag of an entry, in bytes. */
	private static final int ENTRY_OVERHEAD = 2;

	/** A round without being sent counts as much as a change by a tenth. */
	private static final double AGE_WEIGHT_PER_ROUND = 0.1;

	private final Map<String, Sent> sent = new HashMap<>();

	private long round;

	/**
	 * Adds entries to a digest.
	 * @param digest the digest, which already holds everything but the load
	 * @param load the load entries of this host
	 * @param maxBytes the size limit of the digest; at least one entry is added even
	 * beyond it
	 */
	public void compose(Digest.Builder digest, Digest load, int maxBytes) {
		this.round++;
		List<Entry> entries = new ArrayList<>();
		for (UpstreamView view : load.getUpstreamsList()) {
			if (view.getLeaving()) {
				digest.addUpstreams(view);
			}
			else {
				double value = view.getInFlightOnline() + view.getInFlightBatch() + ((view.getOpenBreaker()) ? 100 : 0);
				entries.add(new Entry("u/" + view.getUpstream(), value, view.getSerializedSize(),
						(d) -> d.addUpstreams(view)));
			}
		}
		for (ServiceView view : load.getServicesList()) {
			double value = view.getOnlineArrivalsPerS() + view.getSpareSlots();
			entries
				.add(new Entry("s/" + view.getService(), value, view.getSerializedSize(), (d) -> d.addServices(view)));
		}
		digest.addAllPartitions(load.getPartitionsList()).setQuarantineCount(load.getQuarantineCount());
		addRemovedEntries(entries);
		entries.sort(Comparator.comparingDouble(this::getPriority).reversed().thenComparing(Entry::key));
		int size = digest.build().getSerializedSize();
		for (int i = 0; i < entries.size(); i++) {
			Entry entry = entries.get(i);
			int bytes = ENTRY_OVERHEAD + CodedOutputStream.computeUInt32SizeNoTag(entry.bytes) + entry.bytes;
			if (i > 0 && size + bytes > maxBytes) {
				break;
			}
			size += bytes;
			entry.appender.accept(digest);
			this.sent.put(entry.key, new Sent(entry.value, this.round));
		}
	}

	// An entry that is no longer reported has no load. It is sent once more with value 0;
	// otherwise receivers would keep the last value.
	private void addRemovedEntries(List<Entry> entries) {
		List<String> reported = entries.stream().map(Entry::key).toList();
		List<String> removed = this.sent.entrySet()
			.stream()
			.filter((e) -> !reported.contains(e.getKey()))
			.map(Map.Entry::getKey)
			.toList();
		for (String key : removed) {
			if (this.sent.get(key).value == 0) {
				this.sent.remove(key);
			}
			else if (key.startsWith("u/")) {
				UpstreamView zero = UpstreamView.newBuilder().setUpstream(key.substring(2)).build();
				entries.add(new Entry(key, 0, zero.getSerializedSize(), (d) -> d.addUpstreams(zero)));
			}
			else {
				ServiceView zero = ServiceView.newBuilder().setService(key.substring(2)).build();
				entries.add(new Entry(key, 0, zero.getSerializedSize(), (d) -> d.addServices(zero)));
			}
		}
	}

	private double getPriority(Entry entry) {
		Sent last = this.sent.get(entry.key);
		if (last == null) {
			return Double.MAX_VALUE;
		}
		double change = Math.abs(entry.value - last.value) / Math.max(1, last.value);
		return change + AGE_WEIGHT_PER_ROUND * (this.round - last.round);
	}

	private record Sent(double value, long round) {

	}

	private record Entry(String key, double value, int bytes, Consumer<Digest.Builder> appender) {

	}

}
