package org.wigeonglade.core.batch;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkGrant;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkResult;

/**
 * Source of batch items for the dispatchers of runners, and sink of their results.
 * Requests are distributed over the owners of all partitions.
 */
public interface WorkSource {

	/**
	 * Requests items to run.
	 * @param request the service and the number of items
	 * @return the granted items, possibly none; the loss of an owner is no failure
	 */
	Uni<WorkGrant> request(WorkRequest request);

	/**
	 * Reports results and renews the leases of running items.
	 * @param result the results and the running grants
	 * @return the accepted grants and the revoked ones, whose runs must stop
	 */
	Uni<WorkAck> report(WorkResult result);

	/**
	 * Returns whether items of a service are known to be waiting.
	 * @param service the name of the service
	 * @return true if a request is likely to return items
	 */
	boolean hasPending(String service);

}
