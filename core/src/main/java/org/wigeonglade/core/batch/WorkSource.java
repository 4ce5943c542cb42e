package org.wigeonglade.core.batch;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.schema.generated.peer.WorkAck;
import org.wigeonglade.schema.generated.peer.WorkGrant;
import org.wigeonglade.schema.generated.peer.WorkRequest;
import org.wigeonglade.schema.generated.peer.WorkResult;

/**
 * Gives batch items to the dispatchers of runners and takes their results. Requests are
 * spread over the owners of all partitions.
 */
public interface WorkSource {

	/**
	 * Asks for items to run.
	 * @param request the runner and the number of items wanted
	 * @return the granted items, possibly none; never fails because an owner is lost
	 */
	Uni<WorkGrant> request(WorkRequest request);

	/**
	 * Reports results and renews the leases of running items.
	 * @param result the results and the running grants
	 * @return the grants whose result was taken and those to stop
	 */
	Uni<WorkAck> report(WorkResult result);

	/**
	 * Returns whether items of a service are known to wait.
	 * @param service the service
	 * @return true if a request is likely to be granted
	 */
	boolean hasPending(String service);

}
