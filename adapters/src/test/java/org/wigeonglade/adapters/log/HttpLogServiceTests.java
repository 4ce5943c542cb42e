package org.wigeonglade.adapters.log;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.adapters.AdapterFixture;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.standins.CallFault;
import org.wigeonglade.standins.log.LogStandIn;

/**
 * Guards against an append that may have been applied but is reported as not applied, and
 * against the reverse.
 */
public class HttpLogServiceTests {

	private static final StreamName STREAM = StreamName.of("jobs-3");

	private AdapterFixture fixture;

	private LogStandIn log;

	private HttpLogService service;

	@BeforeClass
	void open() {
		this.fixture = new AdapterFixture();
	}

	@AfterClass
	void close() {
		this.fixture.close();
	}

	@BeforeMethod
	void start() {
		this.log = LogStandIn.builder().vertx(this.fixture.vertx()).retainRecords(2).start();
		this.service = HttpLogService.of(this.fixture.vertx(), this.fixture.client(), this.log.url(),
				Duration.ofSeconds(10));
	}

	@AfterMethod
	void stop() {
		this.log.stop();
	}

	@Test
	void readsBackBinaryRecordsAtTheirOffsets() {
		byte[] binary = { 0, -1, 10, 13, 127 };
		Assert.assertEquals(AdapterFixture.await(this.service.append(STREAM, binary)), Long.valueOf(0));
		Assert.assertEquals(AdapterFixture.await(this.service.append(STREAM, bytes("b"))), Long.valueOf(1));
		LogSlice slice = AdapterFixture.await(this.service.read(STREAM, 0, 10));
		Assert.assertEquals(slice.records().get(0).payload(), binary);
		Assert.assertEquals(slice.headOffset(), 2);
		Assert.assertEquals(this.log.appendedBytes(), 6);
	}

	@Test
	void readBelowTheOldestOffsetStartsAtTheOldestRetainedRecord() {
		for (String text : List.of("a", "b", "c", "d")) {
			AdapterFixture.await(this.service.append(STREAM, bytes(text)));
		}
		this.log.trim();
		LogSlice slice = AdapterFixture.await(this.service.read(STREAM, 0, 10));
		Assert.assertEquals(slice.oldestOffset(), 2);
		Assert.assertEquals(slice.records().get(0).offset(), 2);
		Assert.assertTrue(AdapterFixture.await(this.service.read(StreamName.of("none"), 5, 1)).records().isEmpty());
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] { { CallFault.REFUSED_BEFORE, ErrorCode.PLATFORM_UNAVAILABLE, 0 },
				{ CallFault.ANSWER_LOST, ErrorCode.PLATFORM_UNKNOWN, 1 },
				{ CallFault.CONNECTION_LOST, ErrorCode.PLATFORM_UNKNOWN, 0 },
				{ CallFault.HANGS, ErrorCode.PLATFORM_UNKNOWN, 0 },
				{ CallFault.MALFORMED_ANSWER, ErrorCode.PLATFORM_UNKNOWN, 1 } };
	}

	@Test(dataProvider = "faults")
	void reportsWhetherAnAppendMayHaveTakenEffect(CallFault fault, ErrorCode code, int stored) {
		this.log.appendFaults().failNth("jobs-.*", 1, fault);
		Duration timeout = Duration.ofMillis((fault == CallFault.HANGS) ? 300 : 10_000);
		HttpLogService client = HttpLogService.of(this.fixture.vertx(), this.fixture.client(), this.log.url(), timeout);
		PlatformException failure = AdapterFixture.expectFailure(PlatformException.class,
				client.append(STREAM, bytes("x")));
		Assert.assertEquals(failure.getCode(), code);
		Assert.assertEquals(this.log.records("jobs-3").size(), stored);
	}

	@Test
	void refusedConnectionIsReportedAsNotApplied() {
		this.log.closeNow();
		PlatformException failure = AdapterFixture.expectFailure(PlatformException.class,
				this.service.append(STREAM, bytes("x")));
		Assert.assertEquals(failure.getCode(), ErrorCode.PLATFORM_UNAVAILABLE);
	}

	@Test
	void rateLimitedAppendIsReportedAsNotApplied() {
		LogStandIn limited = LogStandIn.builder()
			.vertx(this.fixture.vertx())
			.ticker(org.wigeonglade.core.time.ManualTicker.startingAt(0))
			.appendsPerSecond(1)
			.start();
		HttpLogService client = HttpLogService.of(this.fixture.vertx(), this.fixture.client(), limited.url(),
				Duration.ofSeconds(5));
		AdapterFixture.await(client.append(STREAM, bytes("x")));
		PlatformException failure = AdapterFixture.expectFailure(PlatformException.class,
				client.append(STREAM, bytes("y")));
		Assert.assertFalse(failure.isUnknown());
		Assert.assertEquals(limited.appends(), 1);
		limited.stop();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
