package org.wigeonglade.gateway.stream;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against events that are returned incomplete, lost at packet boundaries, or
 * modified by the parser.
 */
public class StreamParserTests {

	private static final String STREAM = "id: 0\ndata: first\n\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n: note\n\n";

	@Test(dataProvider = "packetSizes")
	public void eventsDoNotDependOnPacketBoundaries(int size) {
		StreamParser parser = new StreamParser();
		List<StreamEvent> events = new ArrayList<>();
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		for (int i = 0; i < bytes.length; i += size) {
			int length = Math.min(size, bytes.length - i);
			byte[] packet = new byte[length];
			System.arraycopy(bytes, i, packet, 0, length);
			events.addAll(parser.add(packet));
		}
		StringBuilder parsed = new StringBuilder();
		events.forEach((e) -> parsed.append(new String(e.bytes(), StandardCharsets.UTF_8)));
		Assert.assertEquals(parsed.toString(), STREAM);
		Assert.assertEquals(events.stream().map(StreamEvent::id).toList(), List.of(0L, 1L, -1L));
		Assert.assertEquals(new String(events.get(1).getData(), StandardCharsets.UTF_8), "a\nb");
		Assert.assertFalse(parser.isInsideEvent());
	}

	@DataProvider
	public Object[][] packetSizes() {
		return new Object[][] { { 1 }, { 2 }, { 3 }, { 7 }, { 1_000 } };
	}

	@Test
	public void incompleteEventIsNotReturned() {
		StreamParser parser = new StreamParser();
		Assert.assertTrue(parser.add("id: 4\ndata: ha".getBytes(StandardCharsets.UTF_8)).isEmpty());
		Assert.assertTrue(parser.isInsideEvent());
	}

	@Test
	public void dataBytesAreUnchanged() {
		StreamParser parser = new StreamParser();
		StreamEvent event = parser.add("id: 4\ndata: Kesäyö\n\n".getBytes(StandardCharsets.UTF_8)).get(0);
		Assert.assertEquals(new String(event.getData(), StandardCharsets.UTF_8), "Kesäyö");
	}

	@Test(expectedExceptions = IllegalStateException.class)
	public void oversizedEventIsRejected() {
		StreamParser parser = new StreamParser();
		byte[] packet = "data: ".concat("x".repeat(1 << 16)).getBytes(StandardCharsets.UTF_8);
		for (int i = 0; i < 20; i++) {
			parser.add(packet);
		}
	}

}
