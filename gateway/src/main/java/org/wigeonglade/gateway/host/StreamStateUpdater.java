package org.wigeonglade.gateway.host;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.peer.SocketAddresses;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerDirectory;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.job.Job;
import org.wigeonglade.gateway.job.JobTable;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.StreamFollower;
import org.wigeonglade.schema.generated.gateway.HostEntry;

/**
 * Applies the records of the configuration, runner and gateway streams to the in-memory
 * state of the process: the routing table, the runner directory, the jobs and the other
 * hosts.
 */
final class StreamStateUpdater {

	private static final EventLogger LOG = EventLogger.of(StreamStateUpdater.class);

	/** Key prefix of the registrations of hosts in the gateway stream. */
	static final String HOST_KEY_PREFIX = "h/";

	private final GatewayAdapters adapters;

	private final Fleet fleet;

	private final JobTable jobTable;

	private final PeerTable peers;

	private final Ticker ticker;

	private final HostEntry self;

	private final Runnable registerSelf;

	private Consumer<RoutingTable> configurationApplied = (table) -> {
	};

	StreamStateUpdater(GatewayAdapters adapters, Fleet fleet, JobTable jobTable, PeerTable peers, Ticker ticker,
			HostEntry self, Runnable registerSelf) {
		this.adapters = adapters;
		this.fleet = fleet;
		this.jobTable = jobTable;
		this.peers = peers;
		this.ticker = ticker;
		this.self = self;
		this.registerSelf = registerSelf;
	}

	void onConfigurationApplied(Consumer<RoutingTable> listener) {
		this.configurationApplied = listener;
	}

	StreamFollower.Listener configurationListener() {
		return new StreamFollower.Listener() {
			@Override
			public void listed(List<KeyedRecord> records) {
				records.forEach(StreamStateUpdater.this::applyConfiguration);
			}

			@Override
			public void appended(List<KeyedRecord> records) {
				records.forEach(StreamStateUpdater.this::applyConfiguration);
			}
		};
	}

	StreamFollower.Listener runnerListener() {
		return new RunnerListener();
	}

	StreamFollower.Listener gatewayStreamListener(Consumer<Job> jobListener, CrashReportPublisher crashReports,
			RequestLimitPublisher limits) {
		return new GatewayStreamListener(jobListener, crashReports, limits);
	}

	// Registers another host, from its record or from a datagram that it sent.
	void register(HostEntry entry) {
		if (!entry.getHost().equals(this.self.getHost())) {
			this.peers.register(HostId.of(entry.getHost()),
					SocketAddresses.parse(entry.getIp() + ":" + entry.getPort(), "the address of a host"),
					FailureDomain.of(entry.getDomain()), entry.getIncarnation(), this.ticker.millis());
		}
	}

	private void applyConfiguration(KeyedRecord record) {
		if (record.value() == null) {
			return;
		}
		RoutingTable next;
		try {
			next = this.adapters.readConfiguration(record);
		}
		catch (RuntimeException ex) {
			LOG.log(GatewayEvent.CONFIGURATION_INVALID, record.offset(), ex.getMessage());
			return;
		}
		RoutingTable last = this.fleet.getRoutingTable();
		if (next != null && (last == null || next.getVersion() > last.getVersion())) {
			this.fleet.setRoutingTable(next);
			this.configurationApplied.accept(next);
			LOG.log(GatewayEvent.CONFIGURATION_IN_FORCE, next.getVersion(), (last != null) ? last.getVersion() : null,
					record.offset(), next.getRouteCount());
		}
	}

	private final class RunnerListener implements StreamFollower.Listener {

		@Override
		public void listed(List<KeyedRecord> records) {
			StreamStateUpdater.this.fleet.registrationsListed();
			Set<RunnerId> listed = new HashSet<>();
			for (KeyedRecord record : records) {
				listed.add(RunnerId.of(record.key()));
				apply(record);
			}
			for (RunnerEntry entry : List.copyOf(directory().getEntries())) {
				if (!listed.contains(entry.id())) {
					remove(entry.id(), "not listed");
				}
			}
		}

		@Override
		public void appended(List<KeyedRecord> records) {
			records.forEach(this::apply);
		}

		@Override
		public void storeAnswered() {
			directory().storeReachable(StreamStateUpdater.this.ticker.millis());
		}

		@Override
		public void storeFailed() {
			directory().storeUnreachable();
		}

		private void apply(KeyedRecord record) {
			RunnerId id = RunnerId.of(record.key());
			if (record.value() == null) {
				remove(id, "registration removed");
				return;
			}
			RunnerEntry entry;
			try {
				entry = StreamStateUpdater.this.adapters.readRunner(record);
			}
			catch (RuntimeException ex) {
				LOG.log(GatewayEvent.RUNNER_INVALID, record.key(), ex.getMessage());
				remove(id, "registration cannot be read");
				return;
			}
			if (StreamStateUpdater.this.fleet.register(entry)) {
				LOG.log(GatewayEvent.RUNNER_CHANGED, id, entry.service(), entry.version(), entry.address(),
						entry.draining(), entry.slots(), entry.startedMillis());
			}
		}

		private void remove(RunnerId id, String cause) {
			switch (directory().remove(id, StreamStateUpdater.this.ticker.millis())) {
				case RunnerDirectory.Removal.Removed removed -> LOG.log(GatewayEvent.RUNNER_REMOVED, id, cause);
				case RunnerDirectory.Removal.Deferred deferred ->
					LOG.log(GatewayEvent.RUNNER_REMOVAL_DEFERRED, id, cause, deferred.millis());
				case RunnerDirectory.Removal.Unknown unknown -> {
					// Nothing has changed.
				}
			}
		}

		private RunnerDirectory directory() {
			return StreamStateUpdater.this.fleet.getDirectory();
		}

	}

	private final class GatewayStreamListener implements StreamFollower.Listener {

		private final Consumer<Job> jobListener;

		private final CrashReportPublisher crashReports;

		private final RequestLimitPublisher limits;

		private GatewayStreamListener(Consumer<Job> jobListener, CrashReportPublisher crashReports,
				RequestLimitPublisher limits) {
			this.jobListener = jobListener;
			this.crashReports = crashReports;
			this.limits = limits;
		}

		@Override
		public void listed(List<KeyedRecord> records) {
			StreamStateUpdater.this.jobTable.reset(records, GatewayStreamListener::logInvalid);
			this.crashReports.resetRecords();
			this.limits.resetRecords();
			records.forEach(this::applyFleetRecord);
			List.copyOf(StreamStateUpdater.this.jobTable.getJobs()).forEach(this::notifyChanged);
		}

		@Override
		public void appended(List<KeyedRecord> records) {
			for (KeyedRecord record : records) {
				applyFleetRecord(record);
				try {
					StreamStateUpdater.this.jobTable.apply(record).ifPresent(this::notifyChanged);
				}
				catch (RuntimeException ex) {
					logInvalid(record, ex);
				}
			}
		}

		// A request that waits for the job and cannot be answered must not hide the job.
		private void notifyChanged(Job job) {
			try {
				this.jobListener.accept(job);
			}
			catch (RuntimeException ex) {
				LOG.log(GatewayEvent.UNEXPECTED, ex, job.getId());
			}
		}

		private void applyFleetRecord(KeyedRecord record) {
			try {
				if (record.key().startsWith(CrashReportPublisher.KEY_PREFIX)) {
					this.crashReports.applyRecord(record);
				}
				else if (record.key().startsWith(RequestLimitPublisher.KEY_PREFIX)) {
					this.limits.applyRecord(record);
				}
				else {
					applyHost(record);
				}
			}
			catch (InvalidProtocolBufferException | RuntimeException ex) {
				logInvalid(record, ex);
			}
		}

		private static void logInvalid(KeyedRecord record, Exception failure) {
			LOG.log(GatewayEvent.RECORD_INVALID, failure, record.offset(), record.key());
		}

		private void applyHost(KeyedRecord record) throws InvalidProtocolBufferException {
			if (!record.key().startsWith(HOST_KEY_PREFIX)) {
				return;
			}
			if (record.value() == null) {
				HostId removed = HostId.of(record.key().substring(HOST_KEY_PREFIX.length()));
				StreamStateUpdater.this.peers.remove(removed);
				if (removed.value().equals(StreamStateUpdater.this.self.getHost())) {
					StreamStateUpdater.this.registerSelf.run();
				}
				return;
			}
			register(HostEntry.parseFrom(record.value()));
		}

	}

}
