package org.wigeonglade.bench.history;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Holds a whole history in order of time. Immutable.
 *
 * @param seed the seed of the run
 * @param entries the entries
 */
public record History(long seed, List<HistoryEntry> entries) {

	private static final ObjectMapper JSON = new ObjectMapper();

	/**
	 * Creates the history with a sorted copy.
	 */
	public History {
		entries = entries.stream().sorted(Comparator.comparingLong(HistoryEntry::nanos)).toList();
	}

	/**
	 * Reads a history file.
	 * @param file the file, not null
	 * @return the history, never null
	 * @throws InvalidRequestException if the file cannot be read
	 */
	public static History read(Path file) {
		try {
			List<String> lines = Files.readAllLines(file);
			JsonNode header = JSON.readTree(lines.get(0));
			List<HistoryEntry> entries = new ArrayList<>();
			for (String line : lines.subList(1, lines.size())) {
				entries.add(JSON.readValue(line, HistoryEntry.class));
			}
			return new History(header.get("seed").asLong(), entries);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, "the history " + file + " cannot be read",
					ex);
		}
	}

	/**
	 * Writes the history as JSON Lines; the first line names the seed.
	 * @param file the file, not null
	 */
	public void write(Path file) {
		try (BufferedWriter writer = Files.newBufferedWriter(file)) {
			writer.write("{\"seed\":" + this.seed + "}");
			writer.newLine();
			for (HistoryEntry entry : this.entries) {
				writer.write(JSON.writerFor(HistoryEntry.class).writeValueAsString(entry));
				writer.newLine();
			}
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, "the history cannot be written to " + file,
					ex);
		}
	}

	/**
	 * Returns the entries of one type.
	 * @param <T> the type
	 * @param type the type, not null
	 * @return the entries in order of time
	 */
	public <T extends HistoryEntry> Stream<T> of(Class<T> type) {
		return this.entries.stream().filter(type::isInstance).map(type::cast);
	}

}
