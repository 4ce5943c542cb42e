package org.wigeonglade.entry.control;

import java.util.List;

import org.wigeonglade.core.config.ConfigurationReplay;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.Rendezvous;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.schema.generated.log.ConfigChange;
import org.wigeonglade.schema.generated.log.LogEntry;

/**
 * Appends the current configuration to the log again before its record expires, so that a
 * starting host always finds it there. Hosts are ordered by rendezvous hashing; each one
 * waits for those before it, and a duplicate copy is harmless. Runs on the control loop.
 */
final class ConfigurationReappender {

	private static final EventLogger logger = EventLogger.of(ConfigurationReappender.class);

	/** Delay between two consecutive hosts in rendezvous order. */
	private static final long RANK_DELAY_MILLIS = 5000;

	private final ControlContext context;

	private final MemberRuntime members;

	private final ConfigurationRuntime runtime;

	private final StreamAppender appender;

	private long oldestOffset;

	private long headOffset;

	private long currentOffset = -1;

	private long currentSinceMillis;

	private long dueMillis = Long.MAX_VALUE;

	ConfigurationReappender(ControlContext context, MemberRuntime members, ConfigurationRuntime runtime,
			StreamAppender appender) {
		this.context = context;
		this.members = members;
		this.runtime = runtime;
		this.appender = appender;
	}

	void onSlice(LogSlice slice) {
		this.oldestOffset = slice.oldestOffset();
		this.headOffset = slice.headOffset();
	}

	void tick() {
		long now = this.context.now();
		ConfigurationReplay replay = this.runtime.getReplay();
		if (replay.getCurrentOffset() != this.currentOffset) {
			this.currentOffset = replay.getCurrentOffset();
			this.currentSinceMillis = now;
			this.dueMillis = Long.MAX_VALUE;
		}
		if (!this.runtime.isReady() || replay.getVersion() == 0 || !isNeeded(now)) {
			this.dueMillis = Long.MAX_VALUE;
			return;
		}
		if (this.dueMillis == Long.MAX_VALUE) {
			this.dueMillis = now + getRank() * RANK_DELAY_MILLIS;
		}
		if (now >= this.dueMillis) {
			this.dueMillis = now + this.context.options().platformTimeout().toMillis() + RANK_DELAY_MILLIS;
			replay.getCurrent().ifPresent(this::reappend);
		}
	}

	private boolean isNeeded(long now) {
		boolean expired = this.currentOffset < this.oldestOffset;
		boolean inOlderHalf = this.oldestOffset > 0
				&& 2 * (this.currentOffset - this.oldestOffset) < this.headOffset - this.oldestOffset
				&& this.currentOffset != this.headOffset - 1;
		boolean overdue = now - this.currentSinceMillis >= this.context.options().reappendInterval().toMillis();
		return expired || inOlderHalf || overdue;
	}

	private int getRank() {
		List<HostMember> ranked = Rendezvous.rank("config-carry", this.members.getView().hosts(),
				(h) -> h.id().value());
		for (int i = 0; i < ranked.size(); i++) {
			if (ranked.get(i).id().equals(this.context.identity().host())) {
				return i;
			}
		}
		return ranked.size();
	}

	private void reappend(ConfigChange change) {
		LogEntry entry = LogEntry.newBuilder().setConfigChange(change.toBuilder().setCarried(true)).build();
		this.appender.append(this.appender.newRecord(List.of(entry)))
			.subscribe()
			.with((offset) -> logger.log(ControlEvent.CONFIG_REAPPENDED, change.getVersion()), (failure) -> {
			});
	}

}
