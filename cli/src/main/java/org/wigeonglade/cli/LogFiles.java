package org.wigeonglade.cli;

import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Reads the logs of several hosts.
 */
final class LogFiles {

	private LogFiles() {
	}

	/**
	 * Passes on the lines of each log.
	 * @param files the logs, not null
	 * @param charset their charset, not null
	 * @param reader receives the name of each file and its lines, not null
	 * @throws InvalidRequestException if a log cannot be read
	 */
	static void read(List<Path> files, Charset charset, BiConsumer<String, Stream<String>> reader) {
		for (Path file : files) {
			try (Stream<String> lines = Files.lines(file, charset)) {
				reader.accept(file.getFileName().toString(), lines);
			}
			catch (IOException ex) {
				throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
						"the log " + file + " cannot be read: " + ex.getMessage());
			}
		}
	}

}
