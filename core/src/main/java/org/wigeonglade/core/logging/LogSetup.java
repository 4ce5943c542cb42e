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
 * Applies the log settings to the process.
 */
public final class LogSetup {

	private static final Map<LogSettings.Level, Level> LEVELS = Map.of(LogSettings.Level.ERROR, Level.SEVERE,
			LogSettings.Level.WARNING, Level.WARNING, LogSettings.Level.INFO, Level.INFO, LogSettings.Level.DEBUG,
			Level.FINE, LogSettings.Level.TRACE, Level.FINER);

	/**
	 * Strong reference to the logger, because java.util.logging references loggers weakly
	 * and the level is lost when the logger is collected.
	 */
	private static final Logger PROJECT_LOGGER = Logger.getLogger("org.wigeonglade");

	private LogSetup() {
	}

	/**
	 * Writes events of this system from the given level on, and warnings of libraries, to
	 * standard error.
	 * @param level the least severe level written, not null
	 * @param format the line format, not null
	 */
	public static void apply(LogSettings.Level level, LogSettings.Format format) {
		Formatter formatter = (format == LogSettings.Format.JSON) ? new JsonLinesFormatter() : new TextFormatter();
		Handler handler = new ConsoleHandler();
		handler.setFormatter(formatter);
		apply(level, handler);
	}

	/**
	 * Writes events of this system from the given level on, and warnings of libraries, to
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
		PROJECT_LOGGER.setLevel(LEVELS.get(level));
	}

}
