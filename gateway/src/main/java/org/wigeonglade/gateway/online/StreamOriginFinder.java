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
		Search search = new Search(listener);
		this.context.fleet()
			.refreshRegistrations(() -> search.registrationsRead(true), () -> search.registrationsRead(false));
		if (stream == null) {
			search.recordRead(Optional.empty());
		}
		else {
			this.context.origins().find(stream, search::recordRead);
		}
	}

	// Without a record, the stream began at the only version that there was. The
	// registrations must be as new as the request: this host may have been suspended or
	// cut off while runners of another version joined.
	private Optional<StreamOrigin> findOnlyOrigin() {
		Duration period = this.route.getTimeout().multipliedBy(RESUMABLE_TIMEOUTS);
		return this.context.fleet()
			.findOnlyVersion(this.service, period)
			.map((version) -> StreamOrigin.ofVersion(this.service, version));
	}

	/**
	 * One search. The record and the registrations are read at the same time; the latter
	 * matter only if there is no record, or one without a version.
	 */
	private final class Search {

		private final Consumer<Optional<StreamOrigin>> listener;

		private Optional<StreamOrigin> record = Optional.empty();

		private boolean recordRead;

		private boolean registrationsRead;

		private boolean registrationsCurrent;

		private Search(Consumer<Optional<StreamOrigin>> listener) {
			this.listener = listener;
		}

		private void recordRead(Optional<StreamOrigin> recorded) {
			if (recorded.filter((origin) -> origin.version().isKnown()).isPresent()) {
				this.listener.accept(recorded);
				return;
			}
			this.record = recorded;
			this.recordRead = true;
			completeIfRead();
		}

		private void registrationsRead(boolean current) {
			this.registrationsRead = true;
			this.registrationsCurrent = current;
			completeIfRead();
		}

		private StreamOrigin resolve(StreamOrigin origin) {
			return origin.resolve(StreamOriginFinder.this.context.fleet()::findVersion);
		}

		private void completeIfRead() {
			if (!this.recordRead || !this.registrationsRead) {
				return;
			}
			if (this.record.isPresent()) {
				this.listener.accept(this.record.map(this::resolve));
			}
			else {
				this.listener.accept(this.registrationsCurrent ? findOnlyOrigin() : Optional.empty());
			}
		}

	}

}
