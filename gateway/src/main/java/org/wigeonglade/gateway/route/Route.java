package org.wigeonglade.gateway.route;

import java.time.Duration;
import java.util.List;

import org.wigeonglade.core.id.ServiceName;

/**
 * A rule that routes requests with a host name and a path prefix to one or several
 * services, and states how they are executed. Immutable; created with
 * {@link #builder(String)}.
 */
public final class Route {

	private final String name;

	private final String hostName;

	private final String pathPrefix;

	private final RouteKind kind;

	private final List<ServiceShare> shares;

	private final Duration timeout;

	private final Duration latencyTarget;

	private final int priority;

	private final int maxAttempts;

	private final boolean resumable;

	private final Duration completionTarget;

	private final Duration retention;

	private final long quotaTokens;

	private final boolean keyless;

	private Route(Builder builder) {
		this.name = builder.name;
		this.hostName = builder.hostName;
		this.pathPrefix = builder.pathPrefix;
		this.kind = builder.kind;
		this.shares = List.copyOf(builder.shares);
		this.timeout = builder.timeout;
		this.latencyTarget = builder.latencyTarget;
		this.priority = builder.priority;
		this.maxAttempts = builder.maxAttempts;
		this.resumable = builder.resumable;
		this.completionTarget = builder.completionTarget;
		this.retention = builder.retention;
		this.quotaTokens = builder.quotaTokens;
		this.keyless = builder.keyless;
	}

	/**
	 * Returns a builder.
	 * @param name the name of the route, not null
	 * @return a builder, never null
	 */
	public static Builder builder(String name) {
		return new Builder(name);
	}

	/**
	 * Returns the name of the route.
	 * @return the name, never null
	 */
	public String getName() {
		return this.name;
	}

	/**
	 * Returns the host name that requests must have to match.
	 * @return the host name in lower case, never null
	 */
	public String getHostName() {
		return this.hostName;
	}

	/**
	 * Returns the path prefix that requests must have to match.
	 * @return a prefix that begins and ends with a slash, never null
	 */
	public String getPathPrefix() {
		return this.pathPrefix;
	}

	/**
	 * Returns how requests are executed and responses are delivered.
	 * @return the kind, never null
	 */
	public RouteKind getKind() {
		return this.kind;
	}

	/**
	 * Returns the services that requests are distributed to.
	 * @return the services with their weights, never empty
	 */
	public List<ServiceShare> getShares() {
		return this.shares;
	}

	/**
	 * Returns the deadline of a request after its arrival: the time within which it must
	 * have its final response.
	 * @return the time, never null
	 */
	public Duration getTimeout() {
		return this.timeout;
	}

	/**
	 * Returns the target for the latency of the response or, for a stream, of its first
	 * event.
	 * @return the time, never null
	 */
	public Duration getLatencyTarget() {
		return this.latencyTarget;
	}

	/**
	 * Returns the priority of the route relative to others.
	 * @return the priority, where 0 is the highest
	 */
	public int getPriority() {
		return this.priority;
	}

	/**
	 * Returns the maximum number of runners that may execute one request.
	 * @return the number, at least 1
	 */
	public int getMaxAttempts() {
		return this.maxAttempts;
	}

	/**
	 * Returns whether an interrupted stream may be resumed on another runner after its
	 * last event.
	 * @return true if it may
	 */
	public boolean isResumable() {
		return this.resumable;
	}

	/**
	 * Returns whether a request may be retried although it may have been executed.
	 * @return true if repeated execution is harmless
	 */
	public boolean isRetryable() {
		return this.kind == RouteKind.SAFE || this.kind == RouteKind.BATCH
				|| (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Returns the time from the submission of a job until all of its results are due.
	 * @return the time; zero for routes that do not accept jobs
	 */
	public Duration getCompletionTarget() {
		return this.completionTarget;
	}

	/**
	 * Returns the time from the submission of a job after which its items may be
	 * abandoned.
	 * @return the time; zero for routes that do not accept jobs
	 */
	public Duration getRetention() {
		return this.retention;
	}

	/**
	 * Returns whether requests need no API key, also if the configuration has workspaces.
	 * @return true for a public route
	 */
	public boolean isKeyless() {
		return this.keyless;
	}

	/**
	 * Returns the maximum number of tokens of waiting items on the route, counted over
	 * all hosts: for each workspace, or for all callers if there are no workspaces.
	 * @return the number; 0 for no limit
	 */
	public long getQuotaTokens() {
		return this.quotaTokens;
	}

	/**
	 * Returns whether requests may be sent to a service.
	 * @param service the service, not null
	 * @return true if it has a share of the requests
	 */
	public boolean hasService(ServiceName service) {
		return this.shares.stream().anyMatch((share) -> share.weight() > 0 && share.service().equals(service));
	}

	/**
	 * Selects the service of a request by hashing its key into the weights, so that
	 * requests with the same key are always sent to the same service.
	 * @param key the id of the request or item, not null
	 * @return the service, never null
	 */
	public ServiceName chooseService(String key) {
		int total = this.shares.stream().mapToInt(ServiceShare::weight).sum();
		if (total > 0) {
			int position = Math.floorMod(key.hashCode() * 0x9E3779B9, total);
			for (ServiceShare share : this.shares) {
				position -= share.weight();
				if (position < 0) {
					return share.service();
				}
			}
		}
		return this.shares.get(0).service();
	}

	@Override
	public String toString() {
		return this.name + "[" + this.hostName + this.pathPrefix + " " + this.kind + "]";
	}

	/**
	 * Builds a {@link Route}.
	 */
	public static final class Builder {

		private final String name;

		private String hostName = "";

		private String pathPrefix = "/";

		private RouteKind kind = RouteKind.RUN_ONCE;

		private List<ServiceShare> shares = List.of();

		private Duration timeout = Duration.ofSeconds(30);

		private Duration latencyTarget = Duration.ofSeconds(1);

		private int priority;

		private int maxAttempts = 1;

		private boolean resumable;

		private Duration completionTarget = Duration.ZERO;

		private Duration retention = Duration.ZERO;

		private long quotaTokens;

		private boolean keyless;

		private Builder(String name) {
			this.name = name;
		}

		/**
		 * Sets the host name.
		 * @param value the host name in lower case, not null
		 * @return this builder
		 */
		public Builder hostName(String value) {
			this.hostName = value;
			return this;
		}

		/**
		 * Sets the path prefix.
		 * @param value a prefix that begins and ends with a slash, not null
		 * @return this builder
		 */
		public Builder pathPrefix(String value) {
			this.pathPrefix = value;
			return this;
		}

		/**
		 * Sets the kind.
		 * @param value the kind, not null
		 * @return this builder
		 */
		public Builder kind(RouteKind value) {
			this.kind = value;
			return this;
		}

		/**
		 * Sets the services.
		 * @param value the services, not empty
		 * @return this builder
		 */
		public Builder shares(List<ServiceShare> value) {
			this.shares = value;
			return this;
		}

		/**
		 * Sets the time within which a request must have its final response.
		 * @param value the time, not null
		 * @return this builder
		 */
		public Builder timeout(Duration value) {
			this.timeout = value;
			return this;
		}

		/**
		 * Sets the target for the latency of the response or its first event.
		 * @param value the time, not null
		 * @return this builder
		 */
		public Builder latencyTarget(Duration value) {
			this.latencyTarget = value;
			return this;
		}

		/**
		 * Sets the priority relative to other routes.
		 * @param value the priority, where 0 is the highest
		 * @return this builder
		 */
		public Builder priority(int value) {
			this.priority = value;
			return this;
		}

		/**
		 * Sets the maximum number of runners that may execute one request.
		 * @param value the number, at least 1
		 * @return this builder
		 */
		public Builder maxAttempts(int value) {
			this.maxAttempts = value;
			return this;
		}

		/**
		 * Sets whether an interrupted stream may be resumed on another runner.
		 * @param value true if it may
		 * @return this builder
		 */
		public Builder resumable(boolean value) {
			this.resumable = value;
			return this;
		}

		/**
		 * Sets the time from the submission of a job until all of its results are due.
		 * @param value the time, not null
		 * @return this builder
		 */
		public Builder completionTarget(Duration value) {
			this.completionTarget = value;
			return this;
		}

		/**
		 * Sets the time from the submission of a job after which its items may be
		 * abandoned.
		 * @param value the time, not null
		 * @return this builder
		 */
		public Builder retention(Duration value) {
			this.retention = value;
			return this;
		}

		/**
		 * Sets the maximum number of tokens of waiting items.
		 * @param value the number; 0 for no limit
		 * @return this builder
		 */
		public Builder quotaTokens(long value) {
			this.quotaTokens = value;
			return this;
		}

		/**
		 * Sets whether requests need no API key.
		 * @param value true for a public route
		 * @return this builder
		 */
		public Builder keyless(boolean value) {
			this.keyless = value;
			return this;
		}

		/**
		 * Builds the route.
		 * @return the route, never null
		 */
		public Route build() {
			return new Route(this);
		}

	}

}
