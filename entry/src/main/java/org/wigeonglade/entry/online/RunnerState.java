package org.wigeonglade.entry.online;

import java.util.concurrent.atomic.AtomicInteger;

import org.wigeonglade.core.engine.EngineClient;
import org.wigeonglade.core.member.UpstreamMember;

/**
 * Holds what this host knows of one incarnation of a runner. Thread-safe.
 */
public final class RunnerState {

	private volatile UpstreamMember member;

	private final EngineClient onlineClient;

	private final AtomicInteger online = new AtomicInteger();

	RunnerState(UpstreamMember member, EngineClient onlineClient) {
		this.member = member;
		this.onlineClient = onlineClient;
	}

	/**
	 * Returns the member entry.
	 * @return the latest entry of this incarnation
	 */
	public UpstreamMember getMember() {
		return this.member;
	}

	/**
	 * Returns the online requests of this host in flight on the runner.
	 * @return a count, at least 0
	 */
	public int getOnline() {
		return this.online.get();
	}

	EngineClient getOnlineClient() {
		return this.onlineClient;
	}

	void setMember(UpstreamMember member) {
		this.member = member;
	}

	void beginOnline() {
		this.online.incrementAndGet();
	}

	void endOnline() {
		this.online.decrementAndGet();
	}

}
