package org.wigeonglade.core.engine;

import io.smallrye.mutiny.Uni;

/**
 * Client of an instance of a plain service.
 */
public interface ServiceClient {

	/**
	 * Forwards a call.
	 * @param call the call, not null
	 * @return the complete reply; fails with
	 * {@link org.wigeonglade.core.error.UpstreamException}, which states whether a byte
	 * of the call may have been written
	 */
	Uni<ServiceReply> call(ServiceCall call);

}
