package org.wigeonglade.gateway.stream;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a response that continues with a gap or a duplicate event.
 */
public class EventSequenceTests {

	@DataProvider
	public Object[][] events() {
		return new Object[][] { { OptionalLong.empty(), 7, true }, { OptionalLong.of(3), 4, true },
				{ OptionalLong.of(3), -1, true }, { OptionalLong.of(3), 3, false }, { OptionalLong.of(3), 5, false } };
	}

	@Test(dataProvider = "events")
	public void onlyNextEventIdIsAccepted(OptionalLong last, long next, boolean accepted) {
		EventSequence sequence = EventSequence.ofResumable(last);
		Assert.assertEquals(sequence.add(new StreamEvent(next, new byte[0])).isEmpty(), accepted);
		Assert.assertEquals(sequence.getLast(), (accepted && next >= 0) ? OptionalLong.of(next) : last);
	}

	@DataProvider
	public Object[][] eventsWithoutAnId() {
		return new Object[][] { { ":\n\n", true, true, true }, { ": alive\n:\r\n\r\n", true, true, true },
				{ "data: failed\n\n", false, true, false }, { "upstream connect error\n\n", false, true, false },
				{ "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false, true, false },
				{ "id: none\ndata: failed\n\n", false, true, false } };
	}

	// A stream that is never resumed and has no ids is passed on as it is.
	@Test(dataProvider = "eventsWithoutAnId")
	public void textWithoutAnIdIsNoEventOfAStreamWithIds(String text, boolean inResumable, boolean atBegin,
			boolean afterAnId) {
		StreamEvent event = new StreamParser().add(text.getBytes(StandardCharsets.US_ASCII)).get(0);
		Assert.assertEquals(EventSequence.ofResumable(OptionalLong.empty()).add(event).isEmpty(), inResumable);
		Assert.assertEquals(EventSequence.ofResumable(OptionalLong.of(4)).add(event).isEmpty(), inResumable);
		EventSequence sequence = EventSequence.ofSingleRun();
		Assert.assertEquals(sequence.add(event).isEmpty(), atBegin);
		sequence.add(new StreamEvent(0, new byte[0]));
		Assert.assertEquals(sequence.add(event).isEmpty(), afterAnId);
	}

}
