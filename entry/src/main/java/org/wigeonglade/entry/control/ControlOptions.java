package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.List;

import org.wigeonglade.core.member.MemberTiming;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;

/**
 * Holds the times and sizes of the control runtime.
 *
 * @param digestInterval the time between two digests of this host
 * @param hostSilent the silence after which a host is lost
 * @param logPoll the time between two reads of a stream
 * @param hostListPoll the time between two reads of the host list
 * @param platformTimeout the time after which a call to the platform is given up
 * @param carryInterval the time after which the current configuration is appended again
 * @param relayedViews the number of views of other hosts in a digest
 * @param meshLimit the largest fleet in which every host sends digests to every other
 * @param seeds peer addresses to try while the host list cannot be read
 */
public record ControlOptions(Duration digestInterval, Duration hostSilent, Duration logPoll, Duration hostListPoll,
		Duration platformTimeout, Duration carryInterval, int relayedViews, int meshLimit, List<String> seeds) {

	/**
	 * Much shorter than any retention that can hold jobs for a night.
	 */
	private static final Duration DEFAULT_CARRY_INTERVAL = Duration.ofMinutes(30);

	/**
	 * Two views in each digest refresh a fleet of 350 hosts within about 4 s, when 43
	 * hosts send one digest a second each.
	 */
	private static final int DEFAULT_RELAYED_VIEWS = 2;

	/**
	 * Creates the options with a copy of the seeds.
	 */
	public ControlOptions {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns the options that settings give.
	 * @param settings the settings of the host, not null
	 * @return the options
	 */
	public static ControlOptions of(HostSettings settings) {
		TimingSettings timing = (settings.getTiming() != null) ? settings.getTiming() : new TimingSettings();
		return new ControlOptions(Duration.ofMillis(timing.getDigestIntervalMs()),
				Duration.ofMillis(timing.getHostSilentMs()), Duration.ofMillis(timing.getLogPollMs()),
				Duration.ofMillis(timing.getHostListPollMs()), Duration.ofMillis(settings.getPlatform().getTimeoutMs()),
				DEFAULT_CARRY_INTERVAL, DEFAULT_RELAYED_VIEWS, MemberTiming.DEFAULT_MESH_LIMIT,
				(settings.getPeerSeeds() != null) ? settings.getPeerSeeds() : List.of());
	}

	/**
	 * Returns a copy with another carry interval.
	 * @param value the interval, not null
	 * @return the copy
	 */
	public ControlOptions withCarryInterval(Duration value) {
		return new ControlOptions(this.digestInterval, this.hostSilent, this.logPoll, this.hostListPoll,
				this.platformTimeout, value, this.relayedViews, this.meshLimit, this.seeds);
	}

	/**
	 * Returns a copy with another number of relayed views.
	 * @param value the number, at least 0
	 * @return the copy
	 */
	public ControlOptions withRelayedViews(int value) {
		return new ControlOptions(this.digestInterval, this.hostSilent, this.logPoll, this.hostListPoll,
				this.platformTimeout, this.carryInterval, value, this.meshLimit, this.seeds);
	}

}
