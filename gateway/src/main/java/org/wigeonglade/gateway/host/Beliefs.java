package org.wigeonglade.gateway.host;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.google.protobuf.InvalidProtocolBufferException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerDirectory;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.job.Job;
import org.wigeonglade.gateway.job.JobLedger;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.peer.PeerTable;
import org.wigeonglade.gateway.route.RoutingTable;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.StreamFollower;
import org.wigeonglade.schema.generated.gateway.HostEntry;

/**
 * Turns the records of the three streams into what the process believes: configuration,
 * runners, jobs and hosts.
 */
final class Beliefs {

	private static final EventLogger LOG = EventLogger.of(Beliefs.class);

	/** Prefix of the keys of hosts in the own stream. */
	static final String HOST_PREFIX = "h/";

	private final GatewayAdapters adapters;

	private final Fleet fleet;

	private final JobLedger ledger;

	private final PeerTable peers;

	private final Ticker ticker;

	private final HostEntry self;

	private final Runnable registrar;

	Beliefs(GatewayAdapters adapters, Fleet fleet, JobLedger ledger, PeerTable peers, Ticker ticker, HostEntry self,
			Runnable registrar) {
		this.adapters = adapters;
		this.fleet = fleet;
		this.ledger = ledger;
		this.peers = peers;
		this.ticker = ticker;
		this.self = self;
		this.registrar = registrar;
	}

	StreamFollower.Listener configurationListener() {
		return new StreamFollower.Listener() {
			@Override
			public void listed(List<KeyedRecord> records) {
				records.forEach(Beliefs.this::applyConfiguration);
			}

			@Override
			public void appended(List<KeyedRecord> records) {
				records.forEach(Beliefs.this::applyConfiguration);
			}
		};
	}

	StreamFollower.Listener runnerListener() {
		return new RunnerListener();
	}

	StreamFollower.Listener ownListener(Consumer<Job> jobListener) {
		return new OwnListener(jobListener);
	}

	// The entry comes from a registration or from the sender of a datagram.
	void register(HostEntry entry) {
		if (!entry.getHost().equals(this.self.getHost())) {
			this.peers.register(HostId.of(entry.getHost()), new InetSocketAddress(entry.getIp(), entry.getPort()),
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
		catch (WigeongladeException ex) {
			LOG.log(GatewayEvent.CONFIGURATION_INVALID, record.offset(), ex.getMessage());
			return;
		}
		RoutingTable last = this.fleet.getTable();
		if (next != null && (last == null || next.getVersion() > last.getVersion())) {
			this.fleet.setTable(next);
			LOG.log(GatewayEvent.CONFIGURATION_IN_FORCE, next.getVersion(), (last != null) ? last.getVersion() : null,
					record.offset(), next.getRouteCount());
		}
	}

	private final class RunnerListener implements StreamFollower.Listener {

		@Override
		public void listed(List<KeyedRecord> records) {
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
			directory().storeAnswered(Beliefs.this.ticker.millis());
		}

		@Override
		public void storeFailed() {
			directory().storeLost();
		}

		private void apply(KeyedRecord record) {
			RunnerId id = RunnerId.of(record.key());
			if (record.value() == null) {
				remove(id, "registration removed");
				return;
			}
			RunnerEntry entry;
			try {
				entry = Beliefs.this.adapters.readRunner(record);
			}
			catch (WigeongladeException ex) {
				LOG.log(GatewayEvent.RUNNER_INVALID, record.key(), ex.getMessage());
				remove(id, "registration cannot be read");
				return;
			}
			if (directory().put(entry)) {
				LOG.log(GatewayEvent.RUNNER_CHANGED, id, entry.service(), entry.address(), entry.draining(),
						entry.slots(), entry.startedMillis());
			}
		}

		private void remove(RunnerId id, String cause) {
			if (directory().remove(id, Beliefs.this.ticker.millis())) {
				LOG.log(GatewayEvent.RUNNER_GONE, id, cause);
			}
		}

		private RunnerDirectory directory() {
			return Beliefs.this.fleet.getDirectory();
		}

	}

	private final class OwnListener implements StreamFollower.Listener {

		private final Consumer<Job> jobListener;

		private OwnListener(Consumer<Job> jobListener) {
			this.jobListener = jobListener;
		}

		@Override
		public void listed(List<KeyedRecord> records) {
			Beliefs.this.ledger.reset(records);
			records.forEach(this::applyHost);
			List.copyOf(Beliefs.this.ledger.getJobs()).forEach(this.jobListener);
		}

		@Override
		public void appended(List<KeyedRecord> records) {
			for (KeyedRecord record : records) {
				applyHost(record);
				try {
					Beliefs.this.ledger.apply(record).ifPresent(this.jobListener);
				}
				catch (WigeongladeException ex) {
					LOG.log(GatewayEvent.RECORD_INVALID, ex, record.offset(), record.key());
				}
			}
		}

		private void applyHost(KeyedRecord record) {
			if (!record.key().startsWith(HOST_PREFIX)) {
				return;
			}
			if (record.value() == null) {
				HostId dropped = HostId.of(record.key().substring(HOST_PREFIX.length()));
				Beliefs.this.peers.remove(dropped);
				if (dropped.value().equals(Beliefs.this.self.getHost())) {
					Beliefs.this.registrar.run();
				}
				return;
			}
			try {
				register(HostEntry.parseFrom(record.value()));
			}
			catch (InvalidProtocolBufferException ex) {
				LOG.log(GatewayEvent.RECORD_INVALID, ex, record.offset(), record.key());
			}
		}

	}

}
