package org.wigeonglade.gateway.stream;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.SoftwareVersion;

/**
 * What began a stream. The stream may be continued only by runners of the same service
 * and software version, since the output of others does not fit.
 *
 * @param service the service, not null
 * @param version the software version of the runner, not null
 */
public record StreamOrigin(ServiceName service, SoftwareVersion version) {

	/**
	 * Returns the origin of the streams that a runner begins.
	 * @param runner the runner, not null
	 * @return the origin, never null
	 */
	public static StreamOrigin of(RunnerEntry runner) {
		return new StreamOrigin(runner.service(), runner.version());
	}

}
