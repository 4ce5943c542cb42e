package org.wigeonglade.entry.online;

import java.util.HashMap;
import java.util.Map;

import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.HostId;

/**
 * Lets only one host at a time run a fingerprint that is not known to be harmless. Held
 * by the host that watches the fingerprint. Not thread-safe.
 */
final class RunLeases {

	/** Number of leases from which ended ones are removed. */
	private static final int PURGE_SIZE = 10_000;

	private final Map<Fingerprint, Lease> leases = new HashMap<>();

	/**
	 * Asks for a lease.
	 * @param fingerprint the fingerprint, not null
	 * @param holder the host that wants to run it, not null
	 * @param leaseMillis the time after which the run has certainly ended
	 * @param nowMillis the monotonic time in milliseconds
	 * @return whether the host may run it
	 */
	boolean request(Fingerprint fingerprint, HostId holder, long leaseMillis, long nowMillis) {
		Lease held = this.leases.get(fingerprint);
		if (held != null && !held.holder().equals(holder) && held.untilMillis() - nowMillis > 0) {
			return false;
		}
		if (this.leases.size() >= PURGE_SIZE) {
			this.leases.values().removeIf((l) -> l.untilMillis() - nowMillis <= 0);
		}
		this.leases.put(fingerprint, new Lease(holder, nowMillis + leaseMillis));
		return true;
	}

	void end(Fingerprint fingerprint, HostId holder) {
		Lease held = this.leases.get(fingerprint);
		if (held != null && held.holder().equals(holder)) {
			this.leases.remove(fingerprint);
		}
	}

	void endAll(HostId holder) {
		this.leases.values().removeIf((l) -> l.holder().equals(holder));
	}

	private record Lease(HostId holder, long untilMillis) {
	}

}
