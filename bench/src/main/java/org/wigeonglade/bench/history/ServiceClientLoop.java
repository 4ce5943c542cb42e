package org.wigeonglade.bench.history;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.wigeonglade.adapters.http.HttpReply;
import org.wigeonglade.bench.demo.FleetMember;

/**
 * Calls the non-idempotent plain service and sends a call without a clear answer again
 * under the same key, as clients do.
 */
final class ServiceClientLoop implements Runnable {

	private static final Duration TIMEOUT = Duration.ofSeconds(4);

	private static final int MAX_SENDS = 3;

	private static final int FIRST_ERROR = 400;

	private final Workload workload;

	private final int number;

	ServiceClientLoop(Workload workload, int number) {
		this.workload = workload;
		this.number = number;
	}

	@Override
	public void run() {
		for (int i = 0; !this.workload.isStopped(); i++) {
			String key = "card-" + this.workload.options().seed() + "-" + this.number + "-" + i;
			boolean clear = false;
			for (int sends = 0; sends < MAX_SENDS && !clear; sends++) {
				clear = call(key);
				this.workload.pause(40);
			}
		}
	}

	private boolean call(String key) {
		FleetMember member = this.workload.balancer().next();
		String path = "/services/" + this.workload.fixture().deployment().plainService() + "/cards";
		long sent = System.nanoTime();
		Optional<HttpReply> reply = Blocking.tryAwait(this.workload.client()
			.send(HttpMethod.POST, member.clientPort(), path, Buffer.buffer("card " + key),
					Map.of("idempotency-key", key, "content-type", "text/plain"), TIMEOUT));
		int status = reply.map(HttpReply::status).orElse(0);
		String ran = reply.filter((r) -> r.status() >= FIRST_ERROR).map(ServiceClientLoop::ran).orElse("");
		this.workload.recorder()
			.record(new HistoryEntry.ServiceCall(member.name(), key, sent, System.nanoTime(), status, ran));
		return status > 0 && status < FIRST_ERROR;
	}

	private static String ran(HttpReply reply) {
		try {
			return reply.body().toJsonObject().getJsonObject("error").getString("ran", "");
		}
		catch (RuntimeException ex) {
			// A reply of the upstream itself has no such member.
			return "";
		}
	}

}
