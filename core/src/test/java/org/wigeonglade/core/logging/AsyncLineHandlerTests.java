package org.wigeonglade.core.logging;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.event.LoggedEvent;
import org.wigeonglade.core.time.ManualTicker;

/**
 * Guards against a log handler that blocks its callers, that queues lines without bound,
 * or that drops lines without reporting it.
 */
public class AsyncLineHandlerTests {

	@Test
	public void linesAboveTheRateLimitAreDroppedAndReported() {
		ManualTicker ticker = ManualTicker.startingAt(0);
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		AsyncLineHandler handler = new AsyncLineHandler(new JsonLinesFormatter(), output, ticker);
		for (int i = 0; i < LineRateLimiter.LINES_PER_SECOND + 7; i++) {
			handler.publish(record());
		}
		ticker.advance(Duration.ofSeconds(2));
		handler.publish(record());
		handler.close();
		String text = output.toString(StandardCharsets.UTF_8);
		Assert.assertEquals(text.lines().count(), LineRateLimiter.LINES_PER_SECOND + 2);
		Assert.assertTrue(text.contains("\"dropped_event\":\"WGE-1901\",\"count\":7"), text);
	}

	@Test(timeOut = 10_000)
	public void blockedOutputDoesNotBlockTheCaller() {
		CountDownLatch unblock = new CountDownLatch(1);
		OutputStream blocked = new OutputStream() {
			@Override
			public void write(int value) {
				try {
					unblock.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		};
		ManualTicker ticker = ManualTicker.startingAt(0);
		AsyncLineHandler handler = new AsyncLineHandler(new JsonLinesFormatter(), blocked, ticker);
		for (int i = 0; i < 10_000; i++) {
			ticker.advance(Duration.ofMillis(100));
			handler.publish(record());
		}
		unblock.countDown();
	}

	private static LogRecord record() {
		LogRecord record = new LogRecord(Level.INFO, "sample");
		Object[] values = { "x", 1 };
		record.setParameters(new Object[] { new LoggedEvent(LoggingEvent.LINES_DROPPED, values, null) });
		return record;
	}

}
