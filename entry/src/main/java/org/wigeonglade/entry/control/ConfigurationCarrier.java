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
 * Appends the current configuration again before its record expires, so that a starting
 * host always finds it in the log. The host that ranks first does it; the others wait
 * longer, and a second copy does no harm. Runs on the control loop.
 */
final class ConfigurationCarrier {

	private static final EventLogger logger = EventLogger.of(ConfigurationCarrier.class);

	/** The time that each rank waits for the rank before it. */
	private static final long RANK_DELAY_MILLIS = 5000;

	private final ControlContext context;

	private final MemberRuntime members;

	private final ConfigurationRuntime runtime;

	private final StreamAppender appender;

	private long oldestOffset;

	private long headOffset;

	private long seenOffset = -1;

	private long seenMillis;

	private long dueMillis = Long.MAX_VALUE;

	ConfigurationCarrier(ControlContext context, MemberRuntime members, ConfigurationRuntime runtime,
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
		if (replay.getCurrentOffset() != this.seenOffset) {
			this.seenOffset = replay.getCurrentOffset();
			this.seenMillis = now;
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
			replay.getCurrent().ifPresent(this::carry);
		}
	}

	private boolean isNeeded(long now) {
		boolean expired = this.seenOffset < this.oldestOffset;
		boolean inOlderHalf = this.oldestOffset > 0
				&& 2 * (this.seenOffset - this.oldestOffset) < this.headOffset - this.oldestOffset
				&& this.seenOffset != this.headOffset - 1;
		boolean old = now - this.seenMillis >= this.context.options().carryInterval().toMillis();
		return expired || inOlderHalf || old;
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

	private void carry(ConfigChange change) {
		LogEntry entry = LogEntry.newBuilder().setConfigChange(change.toBuilder().setCarried(true)).build();
		this.appender.append(this.appender.next(List.of(entry)))
			.subscribe()
			.with((offset) -> logger.log(ControlEvent.CONFIG_CARRIED, change.getVersion()), (failure) -> {
			});
	}

}
