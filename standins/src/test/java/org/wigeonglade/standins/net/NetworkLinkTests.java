package org.wigeonglade.standins.net;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;
import org.wigeonglade.standins.service.ServiceStandIn;

/**
 * Guards against a link that loses or reorders bytes in a partition, or delivers them
 * before it is healed.
 */
public class NetworkLinkTests {

	private final Vertx vertx = Vertx.vertx();

	/** Held here because Vert.x closes a client that is no longer referenced. */
	private final HttpClient client = this.vertx.createHttpClient();

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	@AfterClass
	void close() {
		this.scheduler.shutdownNow();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Test
	void deliversBufferedBytesAfterThePartition() throws Exception {
		ServiceStandIn service = ServiceStandIn.start(this.vertx);
		NetworkLink link = NetworkLink.start(this.vertx, this.scheduler, service.port(), 500);
		Assert.assertEquals(call(link, "/a").get(20, TimeUnit.SECONDS), 200);
		link.cut(false, true);
		CompletableFuture<Integer> answer = call(link, "/b");
		while (service.calls().size() < 2) {
			Thread.onSpinWait();
		}
		Assert.assertFalse(answer.isDone());
		link.heal();
		Assert.assertEquals(answer.get(20, TimeUnit.SECONDS), 200);
		link.cut(true, false);
		CompletableFuture<Integer> undelivered = call(link, "/c");
		Assert.assertThrows(java.util.concurrent.TimeoutException.class,
				() -> undelivered.get(100, TimeUnit.MILLISECONDS));
		Assert.assertEquals(service.calls().size(), 2);
		link.stop();
		Assert.assertThrows(java.util.concurrent.ExecutionException.class, () -> undelivered.get(20, TimeUnit.SECONDS));
		service.stop();
	}

	private CompletableFuture<Integer> call(NetworkLink link, String path) {
		return this.client.request(HttpMethod.GET, link.port(), "127.0.0.1", path)
			.compose((request) -> request.send())
			.map((response) -> response.statusCode())
			.toCompletionStage()
			.toCompletableFuture();
	}

}
