package org.wigeonglade.adapters;

import java.time.Duration;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.testng.Assert;
import org.wigeonglade.adapters.http.HttpClients;

/**
 * Event loops and HTTP client of a test class, and helpers to wait for results.
 */
public final class AdapterFixture {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = HttpClients.create(this.vertx, Duration.ofSeconds(2));

	public Vertx vertx() {
		return this.vertx;
	}

	public HttpClient client() {
		return this.client;
	}

	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	public static <T> T await(Uni<T> uni) {
		return uni.await().atMost(TIMEOUT);
	}

	public static <E extends Throwable> E expectFailure(Class<E> type, Uni<?> uni) {
		return Assert.expectThrows(type, () -> await(uni));
	}

	public static void waitUntil(java.util.function.BooleanSupplier condition, String what) {
		long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < deadlineNanos, what);
			java.util.concurrent.locks.LockSupport.parkNanos(2_000_000);
		}
	}

}
