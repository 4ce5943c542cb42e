package org.wigeonglade.standins.machines;

import io.vertx.core.json.JsonObject;

/**
 * What a runner of the users' machines registers in the store. Immutable.
 *
 * @param id its id, not null
 * @param service the service that it belongs to, not null
 * @param port the loopback port that hosts connect to
 * @param version the version of its software, not null
 * @param slots the number of requests that it runs at the same time, at least 1
 * @param state {@code ready} or {@code draining}
 * @param startedMillis the start of its process, in milliseconds since the epoch
 * @param domain its failure domain, not null
 */
public record RunnerRegistration(String id, String service, int port, String version, int slots, String state,
		long startedMillis, String domain) {

	/**
	 * Returns the registration of a ready runner of version v1 with four slots in
	 * {@code zone-a}.
	 * @param id its id, not null
	 * @param service the service that it belongs to, not null
	 * @param port the loopback port that hosts connect to
	 * @return the registration, never null
	 */
	public static RunnerRegistration of(String id, String service, int port) {
		return new RunnerRegistration(id, service, port, "v1", 4, "ready", 1, "zone-a");
	}

	/**
	 * Returns a copy with another version of the software.
	 * @param text the version, not null
	 * @return the copy, never null
	 */
	public RunnerRegistration withVersion(String text) {
		return new RunnerRegistration(this.id, this.service, this.port, text, this.slots, this.state,
				this.startedMillis, this.domain);
	}

	/**
	 * Returns a copy with another number of slots.
	 * @param count the number, at least 1
	 * @return the copy, never null
	 */
	public RunnerRegistration withSlots(int count) {
		return new RunnerRegistration(this.id, this.service, this.port, this.version, count, this.state,
				this.startedMillis, this.domain);
	}

	/**
	 * Returns a copy with another state.
	 * @param text {@code ready} or {@code draining}
	 * @return the copy, never null
	 */
	public RunnerRegistration withState(String text) {
		return new RunnerRegistration(this.id, this.service, this.port, this.version, this.slots, text,
				this.startedMillis, this.domain);
	}

	/**
	 * Returns a copy with another start.
	 * @param millis the start of the process, in milliseconds since the epoch
	 * @return the copy, never null
	 */
	public RunnerRegistration withStart(long millis) {
		return new RunnerRegistration(this.id, this.service, this.port, this.version, this.slots, this.state, millis,
				this.domain);
	}

	/**
	 * Returns a copy in another failure domain.
	 * @param name the domain, not null
	 * @return the copy, never null
	 */
	public RunnerRegistration withDomain(String name) {
		return new RunnerRegistration(this.id, this.service, this.port, this.version, this.slots, this.state,
				this.startedMillis, name);
	}

	/**
	 * Writes the registration to the store.
	 * @param store the store, not null
	 */
	public void put(MachineStoreStandIn store) {
		store.put(MachineStoreStandIn.RUNNER_TOPIC, this.id,
				new JsonObject().put("backend", this.service)
					.put("address", "127.0.0.1:" + this.port)
					.put("zone", this.domain)
					.put("version", this.version)
					.put("slots", this.slots)
					.put("state", this.state)
					.put("born", this.startedMillis)
					.toBuffer()
					.getBytes());
	}

}
