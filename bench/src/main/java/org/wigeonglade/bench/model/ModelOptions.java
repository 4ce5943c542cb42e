package org.wigeonglade.bench.model;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Size and load of a modelled fleet. Immutable; created with {@link #builder()}.
 *
 * @param hosts the gateway hosts
 * @param domains the failure domains that hosts and runners are spread over
 * @param runners the runners
 * @param slots the requests that a runner runs at once
 * @param queue the requests that a runner queues before it declines
 * @param seconds the length of the run in simulated seconds
 * @param seed the seed of all random numbers
 * @param nearLagMillis the age of what hosts of one failure domain know of each other
 * @param farLagMillis the age of what other hosts know
 * @param streamsPerSecond the mean arrivals of streams
 * @param burstFactor the rate in a burst as a multiple of the mean
 * @param holdMillis the mean time that a stream holds a slot
 * @param itemsPerSecond the mean arrivals of batch items
 * @param itemMillis the mean time that an item holds a slot
 * @param fleet how the runners differ and what placement knows of it, not null
 * @param contention the callers that compete, not null
 */
public record ModelOptions(int hosts, int domains, int runners, int slots, int queue, int seconds, long seed,
		int nearLagMillis, int farLagMillis, double streamsPerSecond, double burstFactor, int holdMillis,
		double itemsPerSecond, int itemMillis, ModelSpeeds fleet, ModelContention contention) {

	/**
	 * Checks the options.
	 * @throws InvalidRequestException if one is out of its range
	 */
	public ModelOptions {
		require(hosts >= 1, "hosts", hosts);
		require(domains >= 1 && domains <= hosts, "domains", domains);
		require(runners >= 1, "runners", runners);
		require(slots >= 1, "slots", slots);
		require(queue >= 0, "queue", queue);
		require(seconds >= 1, "seconds", seconds);
		require(nearLagMillis >= 0, "near lag", nearLagMillis);
		require(farLagMillis >= nearLagMillis, "far lag", farLagMillis);
		require(burstFactor >= 1 && burstFactor < DispatchModel.CYCLE_MILLIS / DispatchModel.BURST_MILLIS,
				"burst factor", burstFactor);
		require(streamsPerSecond > 0, "streams per second", streamsPerSecond);
		require(itemsPerSecond >= 0, "items per second", itemsPerSecond);
	}

	private static void require(boolean valid, String name, Number value) {
		if (!valid) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID, name + " is out of range: " + value);
		}
	}

	/**
	 * Returns a builder with the size and load of a fleet of 95 hosts.
	 * @return a builder, never null
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Builds {@link ModelOptions}.
	 */
	public static final class Builder {

		private int hosts = 95;

		private int domains = 5;

		private int runners = 36;

		private int slots = 7;

		private int queue = 24;

		private int seconds = 30;

		private long seed = 1;

		private int nearLagMillis = 10;

		private int farLagMillis = 40;

		private double streamsPerSecond = 188;

		private double burstFactor = 1.87;

		private int holdMillis = 710;

		private double itemsPerSecond = 23.5;

		private int itemMillis = 4_900;

		private ModelSpeeds fleet = ModelSpeeds.ALIKE;

		private ModelContention contention = ModelContention.NONE;

		/**
		 * Sets the numbers of hosts and failure domains.
		 * @param hostCount the hosts, at least 1
		 * @param domainCount the failure domains, from 1 to the hosts
		 * @return this builder
		 */
		public Builder hosts(int hostCount, int domainCount) {
			this.hosts = hostCount;
			this.domains = domainCount;
			return this;
		}

		/**
		 * Sets the runners.
		 * @param count the number, at least 1
		 * @param slotCount the requests that each runs at once, at least 1
		 * @return this builder
		 */
		public Builder runners(int count, int slotCount) {
			this.runners = count;
			this.slots = slotCount;
			return this;
		}

		/**
		 * Sets the queue of a runner.
		 * @param value the requests that it queues before it declines, at least 0
		 * @return this builder
		 */
		public Builder queue(int value) {
			this.queue = value;
			return this;
		}

		/**
		 * Sets the length of the run.
		 * @param value simulated seconds, at least 1
		 * @return this builder
		 */
		public Builder seconds(int value) {
			this.seconds = value;
			return this;
		}

		/**
		 * Sets the seed.
		 * @param value the seed
		 * @return this builder
		 */
		public Builder seed(long value) {
			this.seed = value;
			return this;
		}

		/**
		 * Sets the age of what hosts know of each other.
		 * @param near milliseconds within a failure domain, at least 0
		 * @param far milliseconds between failure domains, at least that within one
		 * @return this builder
		 */
		public Builder lag(int near, int far) {
			this.nearLagMillis = near;
			this.farLagMillis = far;
			return this;
		}

		/**
		 * Sets the load of streams.
		 * @param perSecond the mean arrivals, above 0
		 * @param factor the rate in a burst as a multiple of the mean, at least 1
		 * @param hold the mean time that a stream holds a slot, in milliseconds
		 * @return this builder
		 */
		public Builder streams(double perSecond, double factor, int hold) {
			this.streamsPerSecond = perSecond;
			this.burstFactor = factor;
			this.holdMillis = hold;
			return this;
		}

		/**
		 * Sets the load of batch items.
		 * @param perSecond the mean arrivals, at least 0
		 * @param hold the mean time that an item holds a slot, in milliseconds
		 * @return this builder
		 */
		public Builder items(double perSecond, int hold) {
			this.itemsPerSecond = perSecond;
			this.itemMillis = hold;
			return this;
		}

		/**
		 * Sets how the runners differ.
		 * @param value their speeds and what placement knows of them, not null
		 * @return this builder
		 */
		public Builder speeds(ModelSpeeds value) {
			this.fleet = value;
			return this;
		}

		/**
		 * Sets the callers that compete.
		 * @param value the workspaces, their admission and the disturbances, not null
		 * @return this builder
		 */
		public Builder contention(ModelContention value) {
			this.contention = value;
			return this;
		}

		/**
		 * Builds the options.
		 * @return the options, never null
		 * @throws InvalidRequestException if one is out of its range
		 */
		public ModelOptions build() {
			return new ModelOptions(this.hosts, this.domains, this.runners, this.slots, this.queue, this.seconds,
					this.seed, this.nearLagMillis, this.farLagMillis, this.streamsPerSecond, this.burstFactor,
					this.holdMillis, this.itemsPerSecond, this.itemMillis, this.fleet, this.contention);
		}

	}

}
