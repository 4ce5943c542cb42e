package org.wigeonglade.cli.logging;

import java.lang.System.Logger.Level;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import io.vertx.core.json.JsonObject;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.event.EventDescription;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.event.LogEvent;
import org.wigeonglade.core.logging.JsonLinesFormatter;
import org.wigeonglade.core.logging.TextFormatter;

/**
 * Guards against events that lose their figures on the way to a formatter, and against
 * values that break a line.
 */
public class FormatterTests extends Handler {

	private LogRecord last;

	@Test
	public void figuresBecomeFields() {
		Logger logger = Logger.getLogger(FormatterTests.class.getName());
		logger.setUseParentHandlers(false);
		logger.setLevel(java.util.logging.Level.ALL);
		logger.addHandler(this);
		EventLogger.of(FormatterTests.class).log(Event.SAMPLE, new IllegalStateException("broken"), 12, "a\n{0}b");
		JsonObject json = new JsonObject(new JsonLinesFormatter().format(this.last));
		Assert.assertEquals(json.getString("event"), "WGE-1999");
		Assert.assertEquals(json.getString("level"), "WARNING");
		Assert.assertEquals(json.getJsonObject("figures").getInteger("count"), Integer.valueOf(12));
		Assert.assertEquals(json.getJsonObject("figures").getString("name"), "a\n{0}b");
		Assert.assertTrue(json.getString("cause").contains("broken"));
		String text = new TextFormatter().format(this.last);
		Assert.assertTrue(text.contains("WARNING WGE-1999 Sample event count=12 name=a {0}b cause="), text);
		Assert.assertEquals(text.lines().count(), 1);
	}

	@Override
	public void publish(LogRecord record) {
		this.last = record;
	}

	@Override
	public void flush() {
	}

	@Override
	public void close() {
	}

	private enum Event implements LogEvent {

		SAMPLE;

		@Override
		public EventDescription getDescription() {
			return EventDescription.of(1999, Level.WARNING, "Sample event", "count", "name");
		}

	}

}
