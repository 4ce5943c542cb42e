package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.gateway.store.KeyedStream;
import org.wigeonglade.gateway.store.PagedLog;
import org.wigeonglade.gateway.store.PollTiming;
import org.wigeonglade.gateway.store.StreamFollower;

/**
 * Guards against jobs and results that a host loses for good because records are appended
 * while it lists the stream.
 */
public class JobListingTests {

	private static final int PAGE_SIZE = 2;

	private static final int JOBS = 6;

	private static final int ITEMS = 3;

	private EventLoop loop;

	private PagedLog log;

	private StreamFollower follower;

	private JobTable jobTable;

	private CountDownLatch listed;

	@BeforeMethod
	public void startLoop() {
		this.loop = new DefaultEventLoop();
		this.log = new PagedLog(PAGE_SIZE);
		for (int i = 0; i < JOBS; i++) {
			this.log.put(JobRecords.write(job(i)));
			for (int j = 0; j < ITEMS - 1; j++) {
				this.log.put(List.of(result(i, j, "w.1")));
			}
		}
	}

	@AfterMethod(alwaysRun = true)
	public void stopLoop() {
		this.follower.stop();
		this.loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	@Test(dataProvider = "pages")
	public void jobThatIsSubmittedAgainDuringTheListingKeepsItsResults(int page) throws Exception {
		appendAtPage(page, allJobs());
		follow();
		assertAllJobs();
	}

	@Test(dataProvider = "pages")
	public void jobThatEndsAgainDuringTheListingStaysEnded(int page) throws Exception {
		List<KeyedRecord> ends = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			ends.add(JobRecords.writeEnd(job(i).id()));
		}
		this.log.put(ends);
		appendAtPage(page, ends);
		follow();
		assertAllJobs();
		for (int i = 0; i < JOBS; i++) {
			Assert.assertTrue(this.jobTable.find(job(i).id()).orElseThrow().isEnded(), "job " + i);
		}
	}

	@Test(dataProvider = "pages")
	public void resultThatIsAppendedDuringTheListingKeepsThePositionsOfTheOthers(int page) throws Exception {
		List<KeyedRecord> late = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			late.add(result(i, ITEMS - 1, "w.2"));
			late.add(result(i, 0, "w.3"));
		}
		appendAtPage(page, late);
		follow();
		assertAllJobs();
	}

	@Test(dataProvider = "pages")
	public void jobThatIsRemovedDuringTheListingIsNotListed(int page) throws Exception {
		List<KeyedRecord> removals = new ArrayList<>();
		JobRecords.write(job(0)).forEach((part) -> removals.add(KeyedRecord.of(part.key(), null)));
		for (int j = 0; j < ITEMS - 1; j++) {
			removals.add(KeyedRecord.of(result(0, j, "w.1").key(), null));
		}
		appendAtPage(page, removals);
		follow();
		Assert.assertTrue(this.jobTable.find(job(0).id()).isEmpty());
		Assert.assertTrue(this.jobTable.find(job(1).id()).isPresent());
	}

	@Test
	public void listingStartsAnewIfTheStoreForgetsItsHistoryMeanwhile() throws Exception {
		this.log.onPage((page) -> {
			if (page == 1) {
				this.log.put(allJobs());
				this.log.truncate();
			}
		});
		follow();
		assertAllJobs();
	}

	@DataProvider
	public Object[][] pages() {
		return new Object[][] { { 1 }, { 2 }, { 5 }, { 8 } };
	}

	private void appendAtPage(int page, List<KeyedRecord> records) {
		this.log.onPage((number) -> {
			if (number == page) {
				this.log.put(records);
			}
		});
	}

	private void follow() throws InterruptedException {
		this.jobTable = new JobTable();
		this.listed = new CountDownLatch(1);
		this.follower = new StreamFollower(this.log, KeyedStream.OWN,
				new PollTiming(Duration.ofMillis(5), Duration.ZERO), this.loop, Ticker.system(), new Listener());
		this.loop.execute(this.follower::start);
		Assert.assertTrue(this.listed.await(10, TimeUnit.SECONDS), "the stream was not listed");
		CountDownLatch caughtUp = new CountDownLatch(1);
		this.loop.execute(() -> this.follower.whenCaughtUp(caughtUp::countDown));
		Assert.assertTrue(caughtUp.await(10, TimeUnit.SECONDS), "the stream was not read");
	}

	private void assertAllJobs() {
		for (int i = 0; i < JOBS; i++) {
			Job job = this.jobTable.find(job(i).id()).orElseThrow();
			List<String> results = job.getResults(0).stream().map((result) -> result.item().value()).toList();
			Assert.assertEquals(results.subList(0, ITEMS - 1), List.of("i0", "i1"), "results of job " + i);
		}
	}

	private static List<KeyedRecord> allJobs() {
		List<KeyedRecord> records = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			records.addAll(JobRecords.write(job(i)));
		}
		return records;
	}

	private static KeyedRecord result(int job, int item, String attempt) {
		ItemOutcome outcome = new ItemOutcome(ItemId.of("i" + item), true, ByteString.copyFromUtf8("text"));
		return JobRecords.write(job(job).id(), outcome, "", attempt);
	}

	private static SubmittedJob job(int number) {
		List<SubmittedItem> items = new ArrayList<>();
		for (int i = 0; i < ITEMS; i++) {
			items.add(new SubmittedItem(ItemId.of("i" + i), "/p", List.of(Map.entry("A", "b")), new byte[10], 10));
		}
		return new SubmittedJob(JobId.of("job-" + number), "example", "/p/", 1_000, items);
	}

	private final class Listener implements StreamFollower.Listener {

		@Override
		public void listed(List<KeyedRecord> records) {
			JobListingTests.this.jobTable.reset(records, (record, failure) -> {
				throw failure;
			});
			JobListingTests.this.listed.countDown();
		}

		@Override
		public void appended(List<KeyedRecord> records) {
			records.forEach(JobListingTests.this.jobTable::apply);
		}

	}

}
