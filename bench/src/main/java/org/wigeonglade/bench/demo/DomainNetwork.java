package org.wigeonglade.bench.demo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.vertx.core.Vertx;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.standins.hosts.HostListStandIn;
import org.wigeonglade.standins.net.NetworkLink;

/**
 * Network between failure domains. Each domain reads a host list of its own, in which
 * members of other domains are reached through links with latency that can be cut; so is
 * the platform. Not thread-safe, but for the links.
 */
final class DomainNetwork {

	private static final int PLATFORM_LATENCY_MICROS = 500;

	private final Vertx vertx;

	private final Deployment deployment;

	private final ScheduledExecutorService scheduler = Executors
		.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().name("network-links").factory());

	private final Map<String, HostListStandIn> lists = new TreeMap<>();

	private final Map<String, List<Link>> links = new TreeMap<>();

	private final Map<String, List<NetworkLink>> platformLinks = new TreeMap<>();

	DomainNetwork(Vertx vertx, Deployment deployment, long listLagMillis) {
		this.vertx = vertx;
		this.deployment = deployment;
		for (String domain : deployment.domains()) {
			this.lists.put(domain, HostListStandIn.start(vertx, listLagMillis));
		}
	}

	HostListStandIn listOf(String domain) {
		return this.lists.get(domain);
	}

	String platformUrl(String domain, int port) {
		NetworkLink link = NetworkLink.start(this.vertx, this.scheduler, port, PLATFORM_LATENCY_MICROS);
		this.platformLinks.computeIfAbsent(domain, (ignored) -> new ArrayList<>()).add(link);
		return "http://" + link.address();
	}

	NetworkLink clientLink(int port) {
		return NetworkLink.start(this.vertx, this.scheduler, port, this.deployment.clientLatencyMicros());
	}

	synchronized void put(ListedHost member, int port) {
		for (Map.Entry<String, HostListStandIn> view : this.lists.entrySet()) {
			String from = view.getKey();
			int visible = from.equals(member.failureDomain()) ? port : linkTo(member, from, port).port();
			view.getValue().putNow(withAddress(member, "127.0.0.1:" + visible));
		}
	}

	void leave(String name) {
		this.lists.values().forEach((list) -> list.markLeaving(name));
	}

	void remove(String name) {
		this.lists.values().forEach((list) -> list.remove(name));
	}

	synchronized void cut(String from, String to, boolean forward, boolean backward) {
		this.links.values()
			.stream()
			.flatMap(List::stream)
			.filter((link) -> link.from.equals(from) && link.to.equals(to))
			.forEach((link) -> link.network.cut(forward, backward));
	}

	synchronized void cutPlatform(String domain, boolean cut) {
		this.platformLinks.getOrDefault(domain, List.of()).forEach((link) -> link.cut(cut, cut));
	}

	void stop() {
		List<NetworkLink> all = new ArrayList<>();
		this.links.values().forEach((list) -> list.forEach((link) -> all.add(link.network)));
		this.platformLinks.values().forEach(all::addAll);
		all.sort(Comparator.comparingInt(NetworkLink::port));
		all.forEach(NetworkLink::stop);
		this.lists.values().forEach(HostListStandIn::stop);
		this.scheduler.shutdownNow();
	}

	private NetworkLink linkTo(ListedHost member, String from, int port) {
		List<Link> known = this.links.computeIfAbsent(member.name(), (ignored) -> new ArrayList<>());
		for (Link link : known) {
			if (link.from.equals(from) && link.port == port) {
				return link.network;
			}
		}
		NetworkLink created = NetworkLink.start(this.vertx, this.scheduler, port,
				this.deployment.domainLatencyMicros());
		known.add(new Link(from, member.failureDomain(), port, created));
		return created;
	}

	private static ListedHost withAddress(ListedHost member, String address) {
		return new ListedHost(member.name(), member.role(), address, member.failureDomain(), member.region(),
				member.service(), member.models(), member.incarnation(), member.leaving());
	}

	private record Link(String from, String to, int port, NetworkLink network) {
	}

}
