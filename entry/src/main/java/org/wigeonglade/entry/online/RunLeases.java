package org.wigeonglade.entry.online;

import java.util.HashMap;
import java.util.Map;

import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.HostId;

/**
 * Leases that let one host at a time run a fingerprint that is not known to be harmless.
 * Kept by the coordinator of the fingerprint. Not thread-safe.
 */
final class RunLeases {

	/** Number of leases from which expired ones are removed. */
	private static final int PURGE_SIZE = 10_000;

	private final Map<Fingerprint, Lease> leases = new HashMap<>();

	/**
	 * Grants a lease, or renews it for its holder, unless another host holds it.
	 * @param fingerprint the fingerprint, not null
	 * @param holder the host that requests the lease, not null
	 * @param leaseMillis the duration, long enough that the run has ended by then
	 * @param nowMillis the monotonic time in milliseconds
	 * @return whether the lease was granted
	 */
	boolean tryAcquire(Fingerprint fingerprint, HostId holder, long leaseMillis, long nowMillis) {
		Lease current = this.leases.get(fingerprint);
		if (current != null && !current.holder().equals(holder) && current.expiryMillis() - nowMillis > 0) {
			return false;
		}
		if (this.leases.size() >= PURGE_SIZE) {
			this.leases.values().removeIf((l) -> l.expiryMillis() - nowMillis <= 0);
		}
		this.leases.put(fingerprint, new Lease(holder, nowMillis + leaseMillis));
		return true;
	}

	void release(Fingerprint fingerprint, HostId holder) {
		Lease current = this.leases.get(fingerprint);
		if (current != null && current.holder().equals(holder)) {
			this.leases.remove(fingerprint);
		}
	}

	void releaseAll(HostId holder) {
		this.leases.values().removeIf((l) -> l.holder().equals(holder));
	}

	private record Lease(HostId holder, long expiryMillis) {
	}

}
