package org.wigeonglade.gateway.stream;

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
		EventSequence sequence = new EventSequence(last);
		Assert.assertEquals(sequence.add(new StreamEvent(next, new byte[0])).isEmpty(), accepted);
		Assert.assertEquals(sequence.getLast(), (accepted && next >= 0) ? OptionalLong.of(next) : last);
	}

}
