package org.wigeonglade.entry.online;

import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.engine.ServiceClient;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.schema.generated.peer.LinkPurpose;

/**
 * Creates clients of upstreams. Online and batch clients use separate connections.
 */
public interface UpstreamClientFactory {

	/**
	 * Creates the client of a runner.
	 * @param runner the runner, not null
	 * @param purpose the kind of work that the client sends
	 * @return a client, never null
	 */
	EngineClient createEngineClient(UpstreamMember runner, LinkPurpose purpose);

	/**
	 * Creates the client of an instance of a plain service.
	 * @param instance the instance, not null
	 * @return a client, never null
	 */
	ServiceClient createServiceClient(UpstreamMember instance);

}
