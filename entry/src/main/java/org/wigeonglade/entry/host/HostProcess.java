package org.wigeonglade.entry.host;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import org.wigeonglade.core.event.EventLogger;
import sun.misc.Signal;

/**
 * Runs one host as a process: the first SIGTERM or SIGINT starts a planned stop, a second
 * one terminates the process immediately.
 */
public final class HostProcess {

	/** Exit code after a planned stop. */
	public static final int EXIT_OK = 0;

	/** Exit code after a second signal, 128 plus the number of SIGINT. */
	public static final int EXIT_INTERRUPTED = 130;

	private static final EventLogger LOG = EventLogger.of(HostProcess.class);

	private HostProcess() {
	}

	/**
	 * Installs the signal handlers, starts a host and waits for its planned stop to end.
	 * @param host the host, not null
	 * @return the exit code
	 */
	public static int run(EntryHost host) {
		CountDownLatch stopRequested = new CountDownLatch(1);
		AtomicBoolean stopping = new AtomicBoolean();
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name), (signal) -> {
				if (stopping.compareAndSet(false, true)) {
					stopRequested.countDown();
				}
				else {
					LOG.log(HostEvent.ENDED_BY_SIGNAL, host.getName(), host.getInProgress());
					Runtime.getRuntime().halt(EXIT_INTERRUPTED);
				}
			});
		}
		host.start();
		try {
			stopRequested.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		host.stop();
		return EXIT_OK;
	}

}
