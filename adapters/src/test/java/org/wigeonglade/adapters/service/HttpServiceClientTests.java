package org.wigeonglade.adapters.service;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.adapters.AdapterFixture;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.standins.CallFault;
import org.wigeonglade.standins.service.ServiceStandIn;

/**
 * Guards against a call that may have been executed but is reported as not executed: a
 * retry would execute it twice.
 */
public class HttpServiceClientTests {

	private AdapterFixture fixture;

	private ServiceStandIn service;

	private HttpServiceClient client;

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
		this.service = ServiceStandIn.start(this.fixture.vertx());
		this.client = HttpServiceClient.of(this.fixture.vertx(), this.fixture.client(), this.service.address());
	}

	@AfterMethod
	void stop() {
		this.service.stop();
	}

	@Test
	void passesCallAndErrorStatusThrough() {
		this.service.status(409);
		ServiceReply reply = AdapterFixture.await(this.client.call(call(5000)));
		Assert.assertEquals(reply.status(), 409);
		ServiceStandIn.Call seen = this.service.calls().get(0);
		Assert.assertEquals(seen.method() + " " + seen.path() + " " + seen.body(), "POST /cards?x=1 hello");
		Assert.assertEquals(this.service.runsByKey(), Map.of("k1", 1));
	}

	@DataProvider
	Object[][] faults() {
		return new Object[][] { { CallFault.ANSWER_LOST, 1 }, { CallFault.CONNECTION_LOST, 0 },
				{ CallFault.HANGS, 0 } };
	}

	@Test(dataProvider = "faults")
	void missingResponseIsReportedAsUnknown(CallFault fault, int ran) {
		this.service.faults().failNth("/cards", 1, fault);
		UpstreamException failure = AdapterFixture.expectFailure(UpstreamException.class,
				this.client.call(call((fault == CallFault.HANGS) ? 300 : 10_000)));
		Assert.assertEquals(failure.getExecutionState(), ExecutionState.UNKNOWN);
		Assert.assertEquals(this.service.calls().size(), ran);
	}

	@Test
	void refusedConnectionIsReportedAsNotRun() {
		this.service.kill();
		UpstreamException failure = AdapterFixture.expectFailure(UpstreamException.class, this.client.call(call(5000)));
		Assert.assertEquals(failure.getExecutionState(), ExecutionState.NOT_RUN);
		Assert.assertFalse(failure.isConnectionLost());
	}

	private static ServiceCall call(long timeoutMillis) {
		return new ServiceCall("POST", "/cards?x=1",
				Map.of("Idempotency-Key", List.of("k1"), "Connection", List.of("close")), "hello".getBytes(),
				Duration.ofMillis(timeoutMillis));
	}

}
