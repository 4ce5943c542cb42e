package org.wigeonglade.entry.control;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.event.EventLogger;

/**
 * Records whether the last call to each service of the platform succeeded. Thread-safe.
 */
final class PlatformHealth {

	private static final EventLogger logger = EventLogger.of(PlatformHealth.class);

	private final Map<String, Boolean> reachable = new ConcurrentHashMap<>();

	private final ControlContext context;

	PlatformHealth(ControlContext context) {
		this.context = context;
	}

	void recordSuccess(String service) {
		if (Boolean.FALSE.equals(this.reachable.put(service, true))) {
			logger.log(ControlEvent.PLATFORM_BACK, service);
			this.context.record(AccountCode.PLATFORM_BACK, "host", this.context.identity().host().value(),
					Map.of("service", service));
		}
	}

	void recordFailure(String service, Throwable failure) {
		if (!Boolean.FALSE.equals(this.reachable.put(service, false))) {
			logger.log(ControlEvent.PLATFORM_LOST, service, failure.getMessage());
			this.context.record(AccountCode.PLATFORM_LOST, "host", this.context.identity().host().value(),
					Map.of("service", service));
		}
	}

	boolean isReachable() {
		return !this.reachable.isEmpty() && !this.reachable.containsValue(false);
	}

}
