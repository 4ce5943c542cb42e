package org.wigeonglade.gateway.stream;

import java.net.InetSocketAddress;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.FailureDomain;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.fleet.SoftwareVersion;

/**
 * Guards against streams that are continued by a runner whose output does not fit.
 */
public class StreamBindingTests {

	@Test(dataProvider = "bindings")
	public void streamIsContinuedOnlyWhereItsOutputFits(StreamBinding binding, String service, String version,
			boolean permitted) {
		Assert.assertEquals(binding.permits(runner(service, version)), permitted);
	}

	@DataProvider
	public Object[][] bindings() {
		StreamBinding bound = new StreamBinding.Open().afterEventFrom(runner("llm", "v1"));
		return new Object[][] { { new StreamBinding.Open(), "llm", "v1", true },
				{ new StreamBinding.Open(), "llm", "v2", true }, { bound, "llm", "v1", true },
				{ bound, "llm", "v2", false }, { bound, "other", "v1", false },
				{ StreamBinding.ofResumed(Optional.of(StreamOrigin.of(runner("llm", "v2")))), "llm", "v2", true },
				{ StreamBinding.ofResumed(Optional.empty()), "llm", "v1", false } };
	}

	@Test
	public void laterEventsDoNotBindTheStreamToAnotherVersion() {
		StreamBinding binding = new StreamBinding.Open().afterEventFrom(runner("llm", "v1"))
			.afterEventFrom(runner("llm", "v2"));
		Assert.assertTrue(binding.permits(runner("llm", "v1")));
		Assert.assertFalse(binding.permits(runner("llm", "v2")));
	}

	@Test
	public void streamOfUnknownOriginStaysUnknown() {
		StreamBinding binding = StreamBinding.ofResumed(Optional.empty()).afterEventFrom(runner("llm", "v1"));
		Assert.assertFalse(binding.permits(runner("llm", "v1")));
	}

	@Test
	public void firstRecordedOriginOfAStreamCounts() {
		StreamOriginIndex index = new StreamOriginIndex();
		index.add("s", StreamOrigin.of(runner("llm", "v1")), 0);
		index.add("s", StreamOrigin.of(runner("llm", "v2")), 1);
		Assert.assertEquals(index.find("s"), Optional.of(StreamOrigin.of(runner("llm", "v1"))));
	}

	@Test
	public void originsDoNotFillTheMemory() {
		StreamOriginIndex index = new StreamOriginIndex();
		index.add("old", StreamOrigin.of(runner("llm", "v1")), 0);
		index.add("new", StreamOrigin.of(runner("llm", "v1")), StreamOriginIndex.RETENTION_MILLIS + 1);
		Assert.assertTrue(index.find("old").isEmpty());
		Assert.assertTrue(index.find("new").isPresent());
	}

	private static RunnerEntry runner(String service, String version) {
		return new RunnerEntry(RunnerId.of("r"), ServiceName.of(service), new InetSocketAddress("127.0.0.1", 1),
				FailureDomain.of("a"), SoftwareVersion.of(version), 8, false, 0);
	}

}
