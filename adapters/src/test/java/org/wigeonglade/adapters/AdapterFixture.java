package org.wigeonglade.adapters;

import java.time.Duration;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import org.testng.Assert;
import org.wigeonglade.adapters.http.HttpClients;

/**
 * Holds the event loops and the client of a test class.
 */
public final class AdapterFixture {

	private static final Duration LIMIT = Duration.ofSeconds(20);

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
		return uni.await().atMost(LIMIT);
	}

	public static <E extends Throwable> E failure(Class<E> type, Uni<?> uni) {
		return Assert.expectThrows(type, () -> await(uni));
	}

	public static void until(java.util.function.BooleanSupplier condition, String what) {
		long end = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < end, what);
			java.util.concurrent.locks.LockSupport.parkNanos(2_000_000);
		}
	}

}
