package org.wigeonglade.bench.history;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.bench.demo.FleetMember;
import org.wigeonglade.core.settings.SettingsReader;

/**
 * Publishes one configuration as an operator and reads the version of every host.
 */
final class ConfigurationClient implements Runnable {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private static final String PATH = "/operator/config";

	private static final int CONFLICT = 409;

	private final Workload workload;

	private final byte[] body;

	ConfigurationClient(Workload workload) {
		this.workload = workload;
		this.body = SettingsReader.create().write(workload.fixture().configuration());
	}

	@Override
	public void run() {
		boolean published = false;
		while (!this.workload.isStopped()) {
			for (FleetMember member : this.workload.fixture().liveMembers()) {
				published = published || publish(member, "bench");
				readVersion(member);
			}
			this.workload.pause(this.workload.options().readMillis());
		}
	}

	/**
	 * Publishes version 2, unless another operator was faster.
	 * @param member the host to publish at
	 * @param author the operator
	 * @return whether the outcome is known
	 */
	boolean publish(FleetMember member, String author) {
		String path = PATH + "?base=1&author=" + author + "&reason=second";
		Optional<HttpReply> reply = Blocking.tryAwait(this.workload.client()
			.send(HttpMethod.POST, member.host().operatorPort(), path, Buffer.buffer(this.body),
					Map.of("content-type", "application/json"), TIMEOUT));
		if (reply.isEmpty() || !reply.get().isSuccess()) {
			return reply.isPresent() && reply.get().status() == CONFLICT;
		}
		long version = reply.get().body().toJsonObject().getLong("version", 0L);
		this.workload.recorder().record(new HistoryEntry.ConfigAccepted(version, System.nanoTime()));
		return true;
	}

	private void readVersion(FleetMember member) {
		Optional<HttpReply> reply = Blocking.tryAwait(this.workload.client()
			.send(HttpMethod.GET, member.host().operatorPort(), PATH, null, Map.of(), TIMEOUT));
		if (reply.isPresent() && reply.get().isSuccess()) {
			Long version = reply.get().body().toJsonObject().getLong("version");
			if (version != null) {
				this.workload.recorder().record(new HistoryEntry.ConfigSeen(member.name(), version, System.nanoTime()));
			}
		}
	}

}
