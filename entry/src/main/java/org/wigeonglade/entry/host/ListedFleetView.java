package org.wigeonglade.entry.host;

import java.util.ArrayList;
import java.util.List;

import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.Region;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.UpstreamId;
import org.wigeonglade.core.member.FleetView;
import org.wigeonglade.core.member.FleetViewSource;
import org.wigeonglade.core.member.HostMember;
import org.wigeonglade.core.member.UpstreamMember;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.core.time.Ticker;

/**
 * Reads the fleet view from the host list alone. Serves hosts that run without the
 * control runtime.
 */
final class ListedFleetView implements FleetViewSource {

	private static final EventLogger LOG = EventLogger.of(ListedFleetView.class);

	private final String host;

	private final HostDirectory directory;

	private final Ticker ticker;

	private volatile FleetView view = FleetView.EMPTY;

	ListedFleetView(String host, HostDirectory directory, Ticker ticker) {
		this.host = host;
		this.directory = directory;
		this.ticker = ticker;
	}

	@Override
	public FleetView current() {
		return this.view;
	}

	void poll() {
		this.directory.list().subscribe().with(this::apply, this::fail);
	}

	private void apply(List<ListedHost> listed) {
		FleetView next = toView(listed, this.ticker.millis());
		if (!next.upstreams().equals(this.view.upstreams()) || next.hosts().size() != this.view.hosts().size()) {
			this.view = next;
		}
	}

	private void fail(Throwable failure) {
		LOG.log(HostEvent.HOST_LIST_FAILED, failure, this.host);
	}

	static FleetView toView(List<ListedHost> listed, long nowMillis) {
		List<HostMember> hosts = new ArrayList<>();
		List<UpstreamMember> upstreams = new ArrayList<>();
		for (ListedHost entry : listed) {
			FailureDomain domain = FailureDomain.of(entry.failureDomain());
			Region region = Region.of(entry.region());
			if (entry.role() == HostRole.ENTRY) {
				hosts.add(new HostMember(HostId.of(entry.name()), entry.incarnation(), domain, region, entry.address(),
						entry.leaving(), 0, nowMillis));
			}
			else {
				upstreams.add(new UpstreamMember(UpstreamId.of(entry.name()), entry.incarnation(),
						ServiceName.of(entry.service()), domain, region, entry.address(),
						entry.role() == HostRole.RUNNER, entry.models(), entry.leaving()));
			}
		}
		return new FleetView(hosts, upstreams, true);
	}

}
