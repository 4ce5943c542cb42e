package org.wigeonglade.bench.batch;

import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.ConflictException;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.error.WigeongladeException;
import org.wigeonglade.core.id.RequestId;
import org.wigeonglade.entry.batch.KeyedAnswer;
import org.wigeonglade.entry.batch.KeyedRequest;
import org.wigeonglade.entry.batch.KeyedStart;
import org.wigeonglade.standins.CallFault;

/**
 * Guards against a keyed request that runs twice through different hosts, after the loss
 * of a host, or after a lost answer of the log.
 */
public class KeyedRequestTests {

	private final AtomicInteger ids = new AtomicInteger();

	private BatchFleet fleet;

	@BeforeClass
	void start() {
		this.fleet = BatchFleet.start(3, 2, 200);
	}

	@AfterClass(alwaysRun = true)
	void close() {
		this.fleet.close();
	}

	@Test
	void secondRequestWaitsThenGetsTheStoredAnswer() {
		KeyedRequest first = request("stored", "body");
		Assert.assertEquals(begin("host-0", first), new KeyedStart.Run());
		Assert.assertEquals(begin("host-1", request("stored", "body")),
				new KeyedStart.InProgress(first.requestId().value()));
		KeyedAnswer answer = new KeyedAnswer(ExecutionState.RAN, 201, "application/json",
				ByteString.copyFromUtf8("{}"));
		this.fleet.get("host-0").completeKeyed(first, answer).await().indefinitely();
		Assert.assertEquals(begin("host-2", request("stored", "body")), new KeyedStart.Stored(answer));
		Assert.assertThrows(ConflictException.class, () -> begin("host-1", request("stored", "other body")));
	}

	@Test
	void requestThatWasNotRunFreesItsKey() {
		KeyedRequest first = request("freed", "body");
		begin("host-0", first);
		KeyedAnswer answer = new KeyedAnswer(ExecutionState.NOT_RUN, 503, "", ByteString.EMPTY);
		this.fleet.get("host-0").completeKeyed(first, answer).await().indefinitely();
		Assert.assertEquals(begin("host-1", request("freed", "body")), new KeyedStart.Run());
	}

	@Test
	void requestOfAnEarlierIncarnationIsUnknown() {
		KeyedRequest first = request("lost", "body");
		this.fleet.add("host-7");
		Assert.assertEquals(begin("host-7", first), new KeyedStart.Run());
		this.fleet.kill("host-7");
		this.fleet.add("host-7");
		Assert.assertEquals(begin("host-1", request("lost", "body")),
				new KeyedStart.Unknown(first.requestId().value()));
		Assert.assertEquals(begin("host-7", request("lost", "body")),
				new KeyedStart.Unknown(first.requestId().value()));
	}

	@Test
	void concurrentRequestsRunOnce() {
		AtomicInteger runs = new AtomicInteger();
		Thread[] threads = new Thread[6];
		for (int i = 0; i < threads.length; i++) {
			String host = "host-" + i % 3;
			threads[i] = Thread.ofPlatform().start(() -> {
				if (begin(host, request("race", "body")) instanceof KeyedStart.Run) {
					runs.incrementAndGet();
				}
			});
		}
		for (Thread thread : threads) {
			Assert.assertFalse(joinQuietly(thread));
		}
		Assert.assertEquals(runs.get(), 1);
	}

	@Test
	void lostAnswerOfTheLogDoesNotRunTheRequestTwice() {
		this.fleet.log().appendFaults().failNth("jobs-.*", 1, CallFault.ANSWER_LOST);
		KeyedRequest first = request("read-back", "body");
		Assert.assertEquals(begin("host-0", first), new KeyedStart.Run());
		Assert.assertEquals(begin("host-1", request("read-back", "body")),
				new KeyedStart.InProgress(first.requestId().value()));
	}

	@Test(dependsOnMethods = { "secondRequestWaitsThenGetsTheStoredAnswer", "requestThatWasNotRunFreesItsKey",
			"requestOfAnEarlierIncarnationIsUnknown", "concurrentRequestsRunOnce",
			"lostAnswerOfTheLogDoesNotRunTheRequestTwice" })
	void refusalDuringAnOutageIsTrue() {
		this.fleet.log().outage(CallFault.REFUSED_BEFORE);
		WigeongladeException refused = Assert.expectThrows(RefusedException.class,
				() -> begin("host-0", request("outage", "body")));
		Assert.assertEquals(refused.getExecutionState(), ExecutionState.NOT_RUN);
		this.fleet.log().outage(null);
		Assert.assertEquals(begin("host-1", request("outage", "body")), new KeyedStart.Run());
	}

	private KeyedStart begin(String host, KeyedRequest request) {
		return this.fleet.get(host).beginKeyed(request).await().indefinitely();
	}

	private KeyedRequest request(String key, String body) {
		return new KeyedRequest(BatchFleet.WORKSPACE, key, ByteString.copyFromUtf8(body),
				RequestId.of("request-" + this.ids.incrementAndGet()));
	}

	private static boolean joinQuietly(Thread thread) {
		try {
			thread.join(30_000);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return thread.isAlive();
	}

}
