package org.wigeonglade.gateway.online;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.stream.StreamOrigin;

/**
 * Finds what began the stream that a request resumes.
 */
final class StreamOriginFinder {

	/**
	 * Time after the beginning of a stream within which its caller may resume it, in
	 * multiples of the timeout of its route.
	 */
	private static final int RESUMABLE_TIMEOUTS = 4;

	private final OnlineContext context;

	private final Route route;

	private final ServiceName service;

	StreamOriginFinder(OnlineContext context, Route route, ServiceName service) {
		this.context = context;
		this.route = route;
		this.service = service;
	}

	// The stream is null if the caller does not name it. The listener receives no origin
	// if that is not known; it may be called before this method returns.
	void find(String stream, Consumer<Optional<StreamOrigin>> listener) {
		if (stream == null) {
			listener.accept(findOnlyOrigin());
		}
		else {
			this.context.origins().find(stream, (recorded) -> listener.accept(recorded.or(this::findOnlyOrigin)));
		}
	}

	// Without a record, the stream began at the only version that there was.
	private Optional<StreamOrigin> findOnlyOrigin() {
		Duration period = this.route.getTimeout().multipliedBy(RESUMABLE_TIMEOUTS);
		return this.context.fleet()
			.findOnlyVersion(this.service, period)
			.map((version) -> new StreamOrigin(this.service, version));
	}

}
