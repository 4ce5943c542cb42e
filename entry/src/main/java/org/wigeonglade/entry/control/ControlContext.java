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
 * Services and settings that the components of the control runtime share.
 *
 * @param identity the identity of this host
 * @param peerAddress the address under which other hosts reach the peer listener
 * @param options the intervals, time-outs and sizes
 * @param ticker the monotonic clock and the wall clock
 * @param transport sends messages to other hosts and receives theirs
 * @param peerDirectory holds the peer addresses of the transport
 * @param hostDirectory reads the host list of the platform
 * @param log the log service
 * @param account records account events, or null
 * @param loop serial executor of all state changes
 */
record ControlContext(PeerIdentity identity, String peerAddress, ControlOptions options, Ticker ticker,
		PeerTransport transport, PeerDirectory peerDirectory, HostDirectory hostDirectory, LogService log,
		AccountRecorder account, Executor loop) {

	long now() {
		return this.ticker.millis();
	}

	// Records an account event; does nothing without a recorder.
	void record(AccountCode code, String subjectKind, String subjectId, Map<String, String> details) {
		if (this.account != null) {
			this.account.record(code, subjectKind, subjectId, null, details);
		}
	}

	// Emits the result of an asynchronous call on the control loop.
	<T> Uni<T> onLoop(Uni<T> uni) {
		return uni.emitOn(this.loop);
	}

}
