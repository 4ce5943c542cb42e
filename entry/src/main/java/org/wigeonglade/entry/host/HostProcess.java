package org.wigeonglade.entry.host;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import org.wigeonglade.core.event.EventLogger;
import sun.misc.Signal;

/**
 * Runs one host as a process: the first SIGTERM or SIGINT stops it as planned, the second
 * one ends the process at once.
 */
public final class HostProcess {

	/** Exit code after a planned stop. */
	public static final int EXIT_OK = 0;

	/** Exit code after the second signal. */
	public static final int EXIT_INTERRUPTED = 130;

	private static final EventLogger LOG = EventLogger.of(HostProcess.class);

	private HostProcess() {
	}

	/**
	 * Starts a host and waits for the end of its planned stop.
	 * @param host the host, not null
	 * @return the exit code
	 */
	public static int run(EntryHost host) {
		CountDownLatch asked = new CountDownLatch(1);
		AtomicBoolean stopping = new AtomicBoolean();
		for (String name : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(name), (signal) -> {
				if (stopping.compareAndSet(false, true)) {
					asked.countDown();
				}
				else {
					LOG.log(HostEvent.ENDED_BY_SIGNAL, host.getName(), host.getInProgress());
					Runtime.getRuntime().halt(EXIT_INTERRUPTED);
				}
			});
		}
		host.start();
		try {
			asked.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		host.stop();
		return EXIT_OK;
	}

}
