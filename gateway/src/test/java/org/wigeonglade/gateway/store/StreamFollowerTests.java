package org.wigeonglade.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.time.ManualTicker;

/**
 * Guards against a follower that stops to read, or counts as current, after a failure.
 */
public class StreamFollowerTests {

	private static final long AWAIT_MILLIS = 10_000;

	private final List<String> keys = new ArrayList<>();

	private ManualTicker ticker;

	private EventLoop loop;

	private PagedLog log;

	private StreamFollower follower;

	private Supplier<Throwable> failure;

	private String failingKey;

	private int listings;

	@BeforeMethod
	public void startFollower() {
		this.keys.clear();
		this.failure = null;
		this.failingKey = null;
		this.listings = 0;
		this.ticker = ManualTicker.startingAt(0);
		this.loop = new DefaultEventLoop();
		this.log = new PagedLog(2);
		put("a", "b", "c");
	}

	@AfterMethod(alwaysRun = true)
	public void stopFollower() {
		this.follower.stop();
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@DataProvider
	public Object[][] failures() {
		return new Object[][] { { (Supplier<Throwable>) () -> new IllegalArgumentException("port out of range") },
				{ (Supplier<Throwable>) () -> new OutOfMemoryError("simulated") },
				{ (Supplier<Throwable>) StackOverflowError::new } };
	}

	@Test(dataProvider = "failures")
	public void failureOfTheListenerInAListingIsFollowedByAnotherOne(Supplier<Throwable> thrown) {
		this.failure = thrown;
		this.failingKey = "b";
		follow();
		await(() -> this.listings >= 2);
		Assert.assertFalse(onLoop(this.follower::isListed), "counts as listed after a failure");
		this.failingKey = null;
		await(this.follower::isListed);
		Assert.assertEquals(this.keys, List.of("a", "b", "c"));
		put("d");
		await(() -> this.keys.contains("d"));
	}

	@Test(dataProvider = "failures")
	public void failureOfTheListenerInAReadIsFollowedByAListing(Supplier<Throwable> thrown) {
		follow();
		await(this.follower::isListed);
		this.failure = thrown;
		this.failingKey = "d";
		put("d");
		await(() -> this.listings >= 2);
		this.failingKey = null;
		await(this.follower::isListed);
		put("e");
		await(() -> this.keys.contains("e"));
		Assert.assertTrue(this.keys.containsAll(List.of("a", "b", "c", "d", "e")), this.keys.toString());
	}

	// Guards against a request that cannot be answered and ends the reading, or hides the
	// state from other requests.
	@Test(dataProvider = "failures")
	public void failureOfACallbackEndsNeitherTheOthersNorTheReading(Supplier<Throwable> thrown) throws Exception {
		follow();
		await(this.follower::isListed);
		CountDownLatch caughtUp = new CountDownLatch(1);
		this.loop.execute(() -> {
			this.follower.whenCaughtUp(() -> Listener.throwUnchecked(thrown.get()));
			this.follower.whenCaughtUp(() -> Listener.throwUnchecked(thrown.get()));
			this.follower.whenCaughtUp(caughtUp::countDown);
		});
		Assert.assertTrue(caughtUp.await(AWAIT_MILLIS, TimeUnit.MILLISECONDS));
		put("d");
		await(() -> this.keys.contains("d"));
		Assert.assertEquals(this.listings, 1);
	}

	@Test
	public void failedPagesAreReadAgain() {
		this.log.fail(3);
		follow();
		await(this.follower::isListed);
		Assert.assertEquals(this.keys, List.of("a", "b", "c"));
	}

	// Guards against a host that never has the jobs, because it lists them anew again and
	// again.
	@Test
	public void listingThatTakesLongerThanTheHistoryIsCompleted() {
		AtomicLong end = new AtomicLong();
		put("d", "e", "f");
		this.log.onPage((page) -> {
			this.ticker.advance(Duration.ofSeconds(3));
			if (page > 0 && page < 20) {
				put("a" + page);
				this.log.truncate(end.get());
			}
			end.set(this.log.end());
		});
		follow();
		await(this.follower::isListed);
		Assert.assertEquals(this.listings, 1);
		Assert.assertTrue(this.keys.containsAll(List.of("a", "b", "c", "d", "e", "f", "a1", "a2")),
				this.keys.toString());
		Assert.assertEquals(this.keys.size(), Set.copyOf(this.keys).size(), this.keys.toString());
		Assert.assertTrue(this.log.getPages() < 20, this.log.getPages() + " pages");
	}

	@Test
	public void listingGoesOnAfterAFailedPage() {
		this.log = new PagedLog(1);
		put("a", "b", "c", "d", "e", "f");
		this.log.onPage((page) -> {
			if (page == 3) {
				this.log.fail(1);
			}
		});
		follow();
		await(this.follower::isListed);
		Assert.assertEquals(this.keys, List.of("a", "b", "c", "d", "e", "f"));
		Assert.assertEquals(this.log.getPages(), 6);
	}

	@Test
	public void stateIsAsOldAsTheLastCallOfItsListing() {
		put("d", "e", "f", "g");
		this.log.onPage((page) -> {
			this.ticker.advance(Duration.ofSeconds(3));
			this.log.setSilent(page == 3);
		});
		follow();
		await(this.follower::isListed);
		Assert.assertEquals(this.follower.getAgeMillis(), 3_000);
	}

	@Test
	public void callerThatNeedsTheNewestStateDoesNotWaitForTheNextPoll() throws Exception {
		follow();
		await(this.follower::isListed);
		put("d");
		CountDownLatch caughtUp = new CountDownLatch(1);
		this.loop.execute(() -> this.follower.whenCaughtUp(caughtUp::countDown));
		Assert.assertTrue(caughtUp.await(AWAIT_MILLIS, TimeUnit.MILLISECONDS));
		Assert.assertTrue(this.keys.contains("d"));
	}

	@Test
	public void callerThatNeedsTheNewestStateIsToldWhenItCannotBeRead() throws Exception {
		follow();
		await(this.follower::isListed);
		this.log.setSilent(true);
		CountDownLatch caughtUp = new CountDownLatch(1);
		CountDownLatch timedOut = new CountDownLatch(1);
		this.loop
			.execute(() -> this.follower.whenCaughtUp(Duration.ofMillis(50), caughtUp::countDown, timedOut::countDown));
		Assert.assertTrue(timedOut.await(AWAIT_MILLIS, TimeUnit.MILLISECONDS));
		Assert.assertEquals(caughtUp.getCount(), 1);
	}

	private void follow() {
		this.follower = new StreamFollower(this.log, KeyedStream.OWN,
				new PollTiming(Duration.ofSeconds(1), Duration.ZERO), this.loop, this.ticker, new Listener());
		this.loop.execute(this.follower::start);
	}

	private void put(String... added) {
		for (String key : added) {
			this.log.put(List.of(KeyedRecord.of(key, new byte[] { 1 })));
		}
	}

	private boolean onLoop(BooleanSupplier query) {
		return this.loop.submit(query::getAsBoolean).syncUninterruptibly().getNow();
	}

	private void await(BooleanSupplier condition) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
		while (!onLoop(condition)) {
			Assert.assertTrue(System.nanoTime() < deadline, "the condition was not met in time");
		}
	}

	private final class Listener implements StreamFollower.Listener {

		@Override
		public void listed(List<KeyedRecord> records) {
			StreamFollowerTests.this.listings++;
			StreamFollowerTests.this.keys.clear();
			records.forEach(this::apply);
		}

		@Override
		public void appended(List<KeyedRecord> records) {
			records.forEach(this::apply);
		}

		private void apply(KeyedRecord record) {
			if (record.key().equals(StreamFollowerTests.this.failingKey)) {
				throwUnchecked(StreamFollowerTests.this.failure.get());
			}
			StreamFollowerTests.this.keys.add(record.key());
		}

		private static void throwUnchecked(Throwable thrown) {
			switch (thrown) {
				case RuntimeException ex -> throw ex;
				case Error ex -> throw ex;
				default -> throw new AssertionError(thrown);
			}
		}

	}

}
