package org.wigeonglade.core.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.wigeonglade.core.event.LoggedEvent;
import org.wigeonglade.core.time.Ticker;

/**
 * Writes log lines on a thread of its own, in groups. It never blocks its caller: lines
 * beyond the budget of their event, or beyond the queue, are counted and left out.
 * Thread-safe.
 */
public final class AsyncLineHandler extends Handler {

	/** Lines that wait to be written; a line has a few hundred bytes. */
	private static final int QUEUE_LINES = 2_000;

	/** Lines written in one call. */
	private static final int GROUP_LINES = 64;

	/** Time in milliseconds for which lines are collected. */
	private static final long COLLECT_MILLIS = 40;

	private final BlockingQueue<byte[]> lines = new ArrayBlockingQueue<>(QUEUE_LINES);

	private final Semaphore waiting = new Semaphore(0);

	private final LineBudget budget;

	private final OutputStream output;

	private final Thread writer;

	private volatile boolean closed;

	/**
	 * Creates a handler and starts its thread.
	 * @param formatter the form of a line, not null
	 * @param output receives the lines, not null
	 * @param ticker the clock of the budget, not null
	 */
	public AsyncLineHandler(Formatter formatter, OutputStream output, Ticker ticker) {
		setFormatter(formatter);
		this.budget = new LineBudget(ticker);
		this.output = output;
		this.writer = Thread.ofPlatform().daemon().name("log-writer").start(this::run);
	}

	@Override
	public void publish(LogRecord record) {
		if (this.closed || !isLoggable(record)) {
			return;
		}
		Object[] parameters = record.getParameters();
		boolean event = parameters != null && parameters.length == 1 && parameters[0] instanceof LoggedEvent;
		int number = event ? ((LoggedEvent) parameters[0]).event().getNumber() : 0;
		if (!this.budget.tryTake(number)) {
			return;
		}
		if (!offer(record)) {
			this.budget.countDropped(number);
		}
		this.budget.takeReport().forEach(this::reportDropped);
	}

	private void reportDropped(int number, int count) {
		LogRecord record = new LogRecord(Level.WARNING, LoggingEvent.LINES_DROPPED.getText());
		record.setLoggerName(AsyncLineHandler.class.getName());
		Object[] values = { "WGE-" + number, count };
		record.setParameters(new Object[] { new LoggedEvent(LoggingEvent.LINES_DROPPED, values, null) });
		offer(record);
	}

	private boolean offer(LogRecord record) {
		boolean taken = this.lines.offer(getFormatter().format(record).getBytes(StandardCharsets.UTF_8));
		this.waiting.release();
		return taken;
	}

	@Override
	public void flush() {
		writeWaiting();
	}

	@Override
	public void close() {
		this.closed = true;
		writeWaiting();
	}

	private void run() {
		try {
			while (!this.closed) {
				this.waiting.acquire();
				Thread.sleep(COLLECT_MILLIS);
				this.waiting.drainPermits();
				writeWaiting();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeWaiting() {
		while (!this.lines.isEmpty()) {
			writeGroup();
		}
	}

	// The lock keeps groups of the writer and of a flush apart.
	private synchronized void writeGroup() {
		try {
			for (int i = 0; i < GROUP_LINES; i++) {
				byte[] line = this.lines.poll();
				if (line == null) {
					break;
				}
				this.output.write(line);
			}
			this.output.flush();
		}
		catch (IOException ex) {
			// Nothing can be told where the log itself cannot be written.
			throw new UncheckedIOException(ex);
		}
	}

}
