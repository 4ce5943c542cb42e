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
 * Log handler that writes lines in batches on a thread of its own. Publishing never
 * blocks: lines above the rate limit of their event, or beyond the capacity of the queue,
 * are dropped and counted. Thread-safe.
 */
public final class AsyncLineHandler extends Handler {

	/** Maximum number of queued lines; a line has a few hundred bytes. */
	private static final int QUEUE_CAPACITY = 2_000;

	/** Maximum number of lines written between two flushes of the output. */
	private static final int MAX_LINES_PER_FLUSH = 64;

	/** Time in milliseconds for which lines are collected before they are written. */
	private static final long WRITE_DELAY_MILLIS = 40;

	private final BlockingQueue<byte[]> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final Semaphore linesQueued = new Semaphore(0);

	private final LineRateLimiter rateLimiter;

	private final OutputStream output;

	private final Thread writer;

	private volatile boolean closed;

	/**
	 * Creates a handler and starts its thread.
	 * @param formatter the line format, not null
	 * @param output receives the lines, not null
	 * @param ticker the clock of the rate limit, not null
	 */
	public AsyncLineHandler(Formatter formatter, OutputStream output, Ticker ticker) {
		setFormatter(formatter);
		this.rateLimiter = new LineRateLimiter(ticker);
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
		if (!this.rateLimiter.tryAcquire(number)) {
			return;
		}
		if (!enqueue(record)) {
			this.rateLimiter.countDropped(number);
		}
		this.rateLimiter.takeDroppedCounts().forEach(this::reportDropped);
	}

	private void reportDropped(int number, int count) {
		LogRecord record = new LogRecord(Level.WARNING, LoggingEvent.LINES_DROPPED.getText());
		record.setLoggerName(AsyncLineHandler.class.getName());
		Object[] values = { "WGE-" + number, count };
		record.setParameters(new Object[] { new LoggedEvent(LoggingEvent.LINES_DROPPED, values, null) });
		enqueue(record);
	}

	private boolean enqueue(LogRecord record) {
		boolean queued = this.lines.offer(getFormatter().format(record).getBytes(StandardCharsets.UTF_8));
		this.linesQueued.release();
		return queued;
	}

	@Override
	public void flush() {
		writeQueuedLines();
	}

	@Override
	public void close() {
		this.closed = true;
		writeQueuedLines();
	}

	private void run() {
		try {
			while (!this.closed) {
				this.linesQueued.acquire();
				Thread.sleep(WRITE_DELAY_MILLIS);
				this.linesQueued.drainPermits();
				writeQueuedLines();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeQueuedLines() {
		while (!this.lines.isEmpty()) {
			writeNextLines();
		}
	}

	// Serialises the writer thread and callers of flush.
	private synchronized void writeNextLines() {
		try {
			for (int i = 0; i < MAX_LINES_PER_FLUSH; i++) {
				byte[] line = this.lines.poll();
				if (line == null) {
					break;
				}
				this.output.write(line);
			}
			this.output.flush();
		}
		catch (IOException ex) {
			// The log cannot be written, so the failure cannot be logged.
			throw new UncheckedIOException(ex);
		}
	}

}
