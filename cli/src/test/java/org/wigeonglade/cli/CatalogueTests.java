package org.wigeonglade.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.event.LogEvent;

/**
 * Guards against events and errors that are missing in the documentation, described
 * wrongly there, or numbered twice.
 */
public class CatalogueTests {

	private static final Path DOCS = Path.of("..", "docs");

	@Test
	public void numberOfEventIsUniqueAndInRange() {
		Set<Integer> numbers = new HashSet<>();
		List<LogEvent> events = EventCatalogue.findAll();
		Assert.assertFalse(events.isEmpty());
		for (LogEvent event : events) {
			Assert.assertTrue(numbers.add(event.getNumber()), event.getClass() + " reuses number " + event.getNumber());
			Assert.assertTrue(event.getNumber() >= 1000 && event.getNumber() <= 9999, event + " is out of range");
			Assert.assertFalse(event.getText().contains("|"), event + " breaks the table");
		}
	}

	@Test
	public void pageOfEventsMatchesTheCode() throws IOException {
		Assert.assertEquals(Files.readString(DOCS.resolve("events.md")), EventCatalogue.write(),
				"write docs/events.md again with bin/wigeonglade catalogue");
	}

	@Test
	public void pageOfErrorsMatchesTheCode() throws IOException {
		List<String> rows = Files.readAllLines(DOCS.resolve("errors.md"))
			.stream()
			.filter((line) -> line.startsWith("| WG-"))
			.toList();
		Assert.assertEquals(rows.size(), ErrorCode.values().length);
		for (int i = 0; i < rows.size(); i++) {
			ErrorCode code = ErrorCode.values()[i];
			String[] cells = rows.get(i).split("\\|", -1);
			Assert.assertEquals(cells.length, 8, rows.get(i));
			Assert.assertEquals(cells[1].strip(), code.getCode());
			Assert.assertEquals(cells[2].strip(), code.name());
			Assert.assertEquals(cells[3].strip(), Integer.toString(code.getHttpStatus()));
			Assert.assertFalse(cells[4].isBlank() || cells[5].isBlank() || cells[6].isBlank(), rows.get(i));
		}
	}

	@Test
	public void numberOfErrorIsUnique() {
		Set<String> codes = new HashSet<>();
		for (ErrorCode code : ErrorCode.values()) {
			Assert.assertTrue(codes.add(code.getCode()), code + " reuses " + code.getCode());
		}
	}

}
