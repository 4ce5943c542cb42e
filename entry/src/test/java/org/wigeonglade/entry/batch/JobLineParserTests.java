package org.wigeonglade.entry.batch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Guards against accepting malformed input lines of a job, errors without the line
 * number, bodies that are changed on the way to the upstream, and lines that are split
 * differently depending on where the pieces of the upload end.
 */
public class JobLineParserTests {

	private final JobLineParser parser = new JobLineParser(200, 4);

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Test
	void bodyIsCopiedByteForByte() {
		String body = "{ \"n\": 1.00, \"model\":\"m\" ,\"text\":\"ä\\u00e4 }\" }";
		JobLine line = this.parser.parse(bytes("{\"body\":" + body + ", \"custom_id\":\"ñandú\"}"), 1);
		Assert.assertEquals(line.body().toStringUtf8(), body);
		Assert.assertEquals(line.customId(), "ñandú");
		Assert.assertEquals(line.model(), "m");
	}

	@DataProvider
	Object[][] malformed() {
		return new Object[][] { { bytes("[]"), ErrorCode.LINE_INVALID }, { bytes("{"), ErrorCode.LINE_INVALID },
				{ bytes("{\"custom_id\":\"a\"}"), ErrorCode.LINE_INVALID },
				{ bytes("{\"custom_id\":7,\"body\":{\"model\":\"m\"}}"), ErrorCode.LINE_INVALID },
				{ bytes("{\"custom_id\":\"\",\"body\":{\"model\":\"m\"}}"), ErrorCode.LINE_INVALID },
				{ bytes("{\"custom_id\":\"a\",\"body\":{}}"), ErrorCode.LINE_INVALID },
				{ bytes("{\"custom_id\":\"a\",\"body\":{\"model\":\"m\"}} {}"), ErrorCode.LINE_INVALID },
				{ bytes("{\"custom_id\":\"a\",\"body\":{\"model\":\"m\",\"model\":\"n\"}}"), ErrorCode.LINE_INVALID },
				{ bytes("{\"custom_id\":\"a\",\"body\":{\"model\":\"m\",\"x\":[[[[[1]]]]]}}"), ErrorCode.TOO_LARGE },
				{ bytes("{\"custom_id\":\"" + "a".repeat(300) + "\"}"), ErrorCode.TOO_LARGE },
				{ new byte[] { '{', '"', (byte) 0xc3, '(', '"', ':', '1', '}' }, ErrorCode.LINE_INVALID } };
	}

	@Test(dataProvider = "malformed")
	void malformedLineIsRejectedWithLineNumber(byte[] line, ErrorCode code) {
		InvalidRequestException failure = Assert.expectThrows(InvalidRequestException.class,
				() -> this.parser.parse(line, 41));
		Assert.assertEquals(failure.getCode(), code);
		Assert.assertTrue(failure.getMessage().contains("line 41"), failure.getMessage());
	}

	@Test
	void linesDoNotDependOnPieceSize() {
		byte[] text = bytes("{\"a\":\"ä\"}\r\n\n  \n{\"b\":2}\n{\"c\":3}");
		for (int size = 1; size <= text.length; size++) {
			List<String> lines = new ArrayList<>();
			LineSplitter[] splitter = new LineSplitter[1];
			splitter[0] = new LineSplitter(100,
					(line) -> lines.add(splitter[0].getLineNumber() + new String(line, StandardCharsets.UTF_8).trim()));
			for (int from = 0; from < text.length; from += size) {
				splitter[0].write(Arrays.copyOfRange(text, from, Math.min(text.length, from + size)));
			}
			splitter[0].finish();
			Assert.assertEquals(lines, List.of("1{\"a\":\"ä\"}", "4{\"b\":2}", "5{\"c\":3}"), "pieces of " + size);
		}
	}

	@Test
	void lineWithoutEndIsRejectedAtSizeLimit() {
		LineSplitter splitter = new LineSplitter(10, (line) -> {
		});
		Assert.expectThrows(InvalidRequestException.class, () -> splitter.write(new byte[11]));
	}

}
