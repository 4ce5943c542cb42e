package org.wigeonglade.gateway.stream;

import java.util.Optional;
import java.util.function.Function;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerLifetime;
import org.wigeonglade.gateway.fleet.SoftwareVersion;

/**
 * What began a stream. The stream may be continued only by runners of the same service
 * and software version, since the output of others does not fit.
 *
 * @param service the service, not null
 * @param version the software version of the runner, unknown if it was not registered yet
 * @param process the process that began the stream if its version is unknown, otherwise
 * empty
 */
public record StreamOrigin(ServiceName service, SoftwareVersion version, Optional<RunnerLifetime> process) {

	/**
	 * Returns the origin of the streams that a runner begins.
	 * @param runner the runner, not null
	 * @return the origin, never null
	 */
	public static StreamOrigin of(RunnerEntry runner) {
		return runner.version().isKnown() ? ofVersion(runner.service(), runner.version())
				: ofProcess(runner.service(), runner.getLifetime());
	}

	/**
	 * Returns the origin of streams that a version began.
	 * @param service the service, not null
	 * @param version the version, not null
	 * @return the origin, never null
	 */
	public static StreamOrigin ofVersion(ServiceName service, SoftwareVersion version) {
		return new StreamOrigin(service, version, Optional.empty());
	}

	/**
	 * Returns the origin of streams that a process began before its version was known.
	 * @param service the service, not null
	 * @param process the process, not null
	 * @return the origin, never null
	 */
	public static StreamOrigin ofProcess(ServiceName service, RunnerLifetime process) {
		return new StreamOrigin(service, SoftwareVersion.UNKNOWN, Optional.of(process));
	}

	/**
	 * Returns whether a runner may continue the stream.
	 * @param runner the runner, not null
	 * @return true if it has the version, or is the process itself
	 */
	public boolean permits(RunnerEntry runner) {
		return this.service.equals(runner.service()) && (this.version.isKnown() ? this.version.equals(runner.version())
				: this.process.filter(runner.getLifetime()::equals).isPresent());
	}

	/**
	 * Returns the origin with the version of its process, if that is known by now.
	 * @param versions finds the version of a process, not null
	 * @return the origin, or this one if there is nothing to add
	 */
	public StreamOrigin resolve(Function<RunnerLifetime, Optional<SoftwareVersion>> versions) {
		return this.process.flatMap(versions).map((found) -> ofVersion(this.service, found)).orElse(this);
	}

}
