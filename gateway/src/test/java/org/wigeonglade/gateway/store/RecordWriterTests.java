package org.wigeonglade.gateway.store;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.time.Ticker;

/**
 * Guards against a writer that appends nothing any more after a failure.
 */
public class RecordWriterTests {

	@Test
	public void recordThatCannotBeCreatedForOnceIsAppendedLater() throws Exception {
		EventLoop loop = new DefaultEventLoop();
		try {
			PagedLog log = new PagedLog(2);
			RecordWriter writer = new RecordWriter((records) -> log.append(KeyedStream.OWN, records), loop,
					Ticker.system());
			AtomicInteger tries = new AtomicInteger();
			CountDownLatch durable = new CountDownLatch(2);
			loop.execute(() -> {
				writer.add(() -> {
					if (tries.incrementAndGet() == 1) {
						throw new OutOfMemoryError("simulated");
					}
					return KeyedRecord.of("a", new byte[] { 1 });
				}, durable::countDown);
				writer.add(() -> KeyedRecord.of("b", new byte[] { 1 }), durable::countDown);
			});
			Assert.assertTrue(durable.await(10, TimeUnit.SECONDS), "records were not appended");
			Assert.assertEquals(log.read(KeyedStream.OWN, 0, java.time.Duration.ZERO)
				.await()
				.indefinitely()
				.records()
				.stream()
				.map(KeyedRecord::key)
				.toList(), List.of("a", "b"));
		}
		finally {
			loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
		}
	}

}
