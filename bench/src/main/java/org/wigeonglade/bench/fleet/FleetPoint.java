package org.wigeonglade.bench.fleet;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Holds the figures of one size of the fleet.
 *
 * @param hosts the number of hosts in one failure domain
 * @param configInForceMsMax the longest time from the call to publish until the version
 * was in force on the last host
 * @param configWithoutPlatformMsMax the same while only the publishing host reaches the
 * platform
 * @param leavingUpstreamLastWorkMs the longest time after the notice at which a host
 * chose the leaving upstream
 * @param cutRequests the requests in progress when the upstream went away
 * @param controlCpuPercent processor time of control on each host, in percent of a core
 * @param controlBytesPerS bytes sent and received between hosts, for each host
 * @param controlHeapMb live heap of each host
 * @param frames digests that each host receives per second
 * @param ok whether all bounds hold
 */
@JsonPropertyOrder({ "hosts", "config_in_force_ms_max" })
public record FleetPoint(@JsonProperty("hosts") int hosts,
		@JsonProperty("config_in_force_ms_max") double configInForceMsMax,
		@JsonProperty("config_without_platform_ms_max") double configWithoutPlatformMsMax,
		@JsonProperty("leaving_upstream_last_work_ms") double leavingUpstreamLastWorkMs,
		@JsonProperty("cut_requests") int cutRequests, @JsonProperty("control_cpu_percent") double controlCpuPercent,
		@JsonProperty("control_bytes_per_s") double controlBytesPerS,
		@JsonProperty("control_heap_mb") double controlHeapMb, @JsonProperty("digests_per_s") double frames,
		@JsonProperty("ok") boolean ok) {

	/** A configuration is in force everywhere within this time. */
	static final double MAX_CONFIG_MS = 7000;

	/** A leaving upstream gets no new work after this time. */
	static final double MAX_LEAVING_MS = 3000;

	/** Budget of a host, in percent of a core. */
	static final double MAX_CPU_PERCENT = 1.9;

	/** Budget of a host in bytes per second. */
	static final double MAX_BYTES_PER_S = 25_000;

	/** Budget of a host in megabytes. */
	static final double MAX_HEAP_MB = 128;

	FleetPoint withVerdict() {
		boolean verdict = this.configInForceMsMax <= MAX_CONFIG_MS && this.configWithoutPlatformMsMax <= MAX_CONFIG_MS
				&& this.leavingUpstreamLastWorkMs <= MAX_LEAVING_MS && this.cutRequests == 0
				&& this.controlCpuPercent <= MAX_CPU_PERCENT && this.controlBytesPerS <= MAX_BYTES_PER_S
				&& this.controlHeapMb <= MAX_HEAP_MB;
		return new FleetPoint(this.hosts, this.configInForceMsMax, this.configWithoutPlatformMsMax,
				this.leavingUpstreamLastWorkMs, this.cutRequests, this.controlCpuPercent, this.controlBytesPerS,
				this.controlHeapMb, this.frames, verdict);
	}

}
