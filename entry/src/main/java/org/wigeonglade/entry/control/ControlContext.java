package org.wigeonglade.entry.control;

import java.util.Map;
import java.util.concurrent.Executor;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountRecorder;
import org.wigeonglade.core.peer.PeerDirectory;
import org.wigeonglade.core.peer.PeerTransport;
import org.wigeonglade.core.platform.HostDirectory;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.peer.PeerIdentity;

/**
 * Holds what the parts of the control runtime share.
 *
 * @param identity who this host is
 * @param peerAddress the address of its peer listener, as other hosts reach it
 * @param options the times and sizes
 * @param ticker the clocks
 * @param transport the message transport between hosts
 * @param directory the addresses of the hosts that the transport can send to
 * @param hostDirectory the host list
 * @param log the log service
 * @param account the account, or null
 * @param loop runs all state changes one after the other
 */
record ControlContext(PeerIdentity identity, String peerAddress, ControlOptions options, Ticker ticker,
		PeerTransport transport, PeerDirectory directory, HostDirectory hostDirectory, LogService log,
		AccountRecorder account, Executor loop) {

	long now() {
		return this.ticker.millis();
	}

	// Records an event of this host; without an account nothing is kept.
	void record(AccountCode code, String subjectKind, String subjectId, Map<String, String> figures) {
		if (this.account != null) {
			this.account.record(code, subjectKind, subjectId, null, figures);
		}
	}

	// Hands the result of an asynchronous call to the loop.
	<T> Uni<T> onLoop(Uni<T> uni) {
		return uni.emitOn(this.loop);
	}

}
