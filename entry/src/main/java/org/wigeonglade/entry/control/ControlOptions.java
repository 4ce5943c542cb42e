package org.wigeonglade.entry.control;

import java.time.Duration;
import java.util.List;

import org.wigeonglade.core.member.MemberTiming;
import org.wigeonglade.schema.generated.settings.HostSettings;
import org.wigeonglade.schema.generated.settings.TimingSettings;

/**
 * Intervals, time-outs and sizes of the control runtime.
 *
 * @param digestInterval the interval at which this host sends digests
 * @param hostSilent the time without a heartbeat after which a host is considered lost
 * @param logPoll the interval at which a stream is polled
 * @param hostListPoll the interval at which the host list is polled
 * @param platformTimeout the time-out of a call to the platform and of a request to a
 * peer
 * @param reappendInterval the age after which the record of the current configuration is
 * appended again
 * @param relayedViews the number of views of other hosts that a digest relays
 * @param meshLimit the largest number of hosts with a full mesh of digests
 * @param seeds the peer addresses to contact while the host list cannot be read
 */
public record ControlOptions(Duration digestInterval, Duration hostSilent, Duration logPoll, Duration hostListPoll,
		Duration platformTimeout, Duration reappendInterval, int relayedViews, int meshLimit, List<String> seeds) {

	/**
	 * Well below any log retention that is long enough to keep jobs overnight.
	 */
	private static final Duration DEFAULT_REAPPEND_INTERVAL = Duration.ofMinutes(30);

	/**
	 * With two relayed views per digest and 43 hosts that send one digest per second
	 * each, the views of a fleet of 350 hosts are refreshed within about 4 s.
	 */
	private static final int DEFAULT_RELAYED_VIEWS = 2;

	/**
	 * Copies the seeds.
	 */
	public ControlOptions {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Creates the options from the settings of a host.
	 * @param settings the settings of the host, not null
	 * @return the options
	 */
	public static ControlOptions of(HostSettings settings) {
		TimingSettings timing = (settings.getTiming() != null) ? settings.getTiming() : new TimingSettings();
		return new ControlOptions(Duration.ofMillis(timing.getDigestIntervalMs()),
				Duration.ofMillis(timing.getHostSilentMs()), Duration.ofMillis(timing.getLogPollMs()),
				Duration.ofMillis(timing.getHostListPollMs()), Duration.ofMillis(settings.getPlatform().getTimeoutMs()),
				DEFAULT_REAPPEND_INTERVAL, DEFAULT_RELAYED_VIEWS, MemberTiming.DEFAULT_MESH_LIMIT,
				(settings.getPeerSeeds() != null) ? settings.getPeerSeeds() : List.of());
	}

	/**
	 * Returns a copy with another reappend interval.
	 * @param value the interval, not null
	 * @return the copy
	 */
	public ControlOptions withReappendInterval(Duration value) {
		return new ControlOptions(this.digestInterval, this.hostSilent, this.logPoll, this.hostListPoll,
				this.platformTimeout, value, this.relayedViews, this.meshLimit, this.seeds);
	}

	/**
	 * Returns a copy with another number of relayed views.
	 * @param value the number of views per digest, at least 0
	 * @return the copy
	 */
	public ControlOptions withRelayedViews(int value) {
		return new ControlOptions(this.digestInterval, this.hostSilent, this.logPoll, this.hostListPoll,
				this.platformTimeout, this.reappendInterval, value, this.meshLimit, this.seeds);
	}

}
