package org.wigeonglade.core.logging;

import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

import org.wigeonglade.schema.generated.settings.LogSettings;

/**
 * Applies the log settings to the whole process.
 */
public final class LogSetup {

	private static final Map<LogSettings.Level, Level> LEVELS = Map.of(LogSettings.Level.ERROR, Level.SEVERE,
			LogSettings.Level.WARNING, Level.WARNING, LogSettings.Level.INFO, Level.INFO, LogSettings.Level.DEBUG,
			Level.FINE, LogSettings.Level.TRACE, Level.FINER);

	/**
	 * Loggers are kept here, because java.util.logging holds them weakly and a collected
	 * logger loses its level.
	 */
	private static final Logger OWN = Logger.getLogger("org.wigeonglade");

	private LogSetup() {
	}

	/**
	 * Sends events of this system from the given level on, and warnings of libraries, to
	 * standard error.
	 * @param level the least severe level written, not null
	 * @param format the form of a line, not null
	 */
	public static void apply(LogSettings.Level level, LogSettings.Format format) {
		Formatter formatter = (format == LogSettings.Format.JSON) ? new JsonLinesFormatter() : new TextFormatter();
		Handler handler = new ConsoleHandler();
		handler.setFormatter(formatter);
		apply(level, handler);
	}

	/**
	 * Sends events of this system from the given level on, and warnings of libraries, to
	 * a handler.
	 * @param level the least severe level written, not null
	 * @param handler the handler, not null
	 */
	public static void apply(LogSettings.Level level, Handler handler) {
		LogManager.getLogManager().reset();
		handler.setLevel(Level.ALL);
		Logger root = Logger.getLogger("");
		root.addHandler(handler);
		root.setLevel(Level.WARNING);
		OWN.setLevel(LEVELS.get(level));
	}

}
