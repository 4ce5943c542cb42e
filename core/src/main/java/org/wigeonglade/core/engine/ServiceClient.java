package org.wigeonglade.core.engine;

import io.smallrye.mutiny.Uni;

/**
 * One instance of a plain service.
 */
public interface ServiceClient {

	/**
	 * Passes a call through.
	 * @param call the call, not null
	 * @return the whole reply; fails with
	 * {@link org.wigeonglade.core.error.UpstreamException}, whose state tells whether a
	 * byte of the call may have been written
	 */
	Uni<ServiceReply> call(ServiceCall call);

}
