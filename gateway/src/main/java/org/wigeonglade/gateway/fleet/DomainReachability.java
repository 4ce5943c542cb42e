package org.wigeonglade.gateway.fleet;

import java.util.HashMap;
import java.util.Map;

import org.wigeonglade.core.id.FailureDomain;

/**
 * Records to which failure domains this host opens connections. The hosts of a domain may
 * be silent because they have been removed or have failed; a connection to a runner of
 * the domain then shows that it is not partitioned. Not thread-safe.
 */
public final class DomainReachability {

	private final Map<FailureDomain, Long> connectedMillis = new HashMap<>();

	/**
	 * Records that a connection to a runner was opened.
	 * @param domain the failure domain of the runner, not null
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void recordConnected(FailureDomain domain, long nowMillis) {
		this.connectedMillis.put(domain, nowMillis);
	}

	/**
	 * Records that a runner could not be reached or did not respond. Earlier connections
	 * no longer count.
	 * @param domain the failure domain of the runner, not null
	 */
	public void recordFailure(FailureDomain domain) {
		this.connectedMillis.remove(domain);
	}

	/**
	 * Returns whether a connection to a runner of a domain was opened in a period that
	 * ends now, and no runner of the domain has failed after it.
	 * @param domain the failure domain, not null
	 * @param startMillis the start of the period, a monotonic time in milliseconds
	 * @return true if the domain is reachable
	 */
	public boolean isReachedSince(FailureDomain domain, long startMillis) {
		Long connected = this.connectedMillis.get(domain);
		return connected != null && connected >= startMillis;
	}

}
