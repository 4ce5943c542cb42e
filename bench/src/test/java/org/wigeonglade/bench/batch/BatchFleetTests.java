package org.wigeonglade.bench.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.ConflictException;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.RefusedException;
import org.wigeonglade.core.id.BatchId;
import org.wigeonglade.core.platform.StoredRecord;
import org.wigeonglade.entry.batch.JobStatus;
import org.wigeonglade.schema.generated.log.LogRecord;
import org.wigeonglade.schema.generated.peer.WorkOutcome;
import org.wigeonglade.schema.generated.peer.WorkStatus;
import org.wigeonglade.standins.CallFault;

/**
 * Guards the promises of batch work on several hosts: one outcome for each item, results
 * on every host, cancellation, keys, and true refusals, while hosts and the log fail.
 */
public class BatchFleetTests {

	private static final long LIMIT_NANOS = Duration.ofSeconds(30).toNanos();

	@Test
	void everyItemCompletesOnceAndItsResultIsReadableOnEveryHost() {
		try (BatchFleet fleet = BatchFleet.start(3, 4, 200);
				WorkerPool workers = new WorkerPool(fleet, 16, WorkerPool::complete)) {
			JobStatus job = fleet.submit("host-0", "key-1", BatchJobs.lines(BatchFleet.IDEMPOTENT, 3000));
			Assert.assertEquals(job.items(), 3000);
			fleet.live().forEach((host) -> workers.start(host, BatchFleet.IDEMPOTENT, false));
			until(() -> finished(fleet, "host-1", job.id()), "job did not finish");
			for (String host : fleet.live()) {
				Assert.assertEquals(ids(fleet.results(host, job.id())).size(), 3000, "results on " + host);
				Assert.assertEquals(fleet.results(host, job.id()).size(), 3000, "results on " + host);
			}
		}
	}

	@Test(groups = "known-red")
	void lostOwnerLosesNoItemAndDoublesNoOutcome() {
		try (BatchFleet fleet = BatchFleet.start(3, 2, 200);
				WorkerPool workers = new WorkerPool(fleet, 4, WorkerPool::complete)) {
			JobStatus job = fleet.submit("host-0", "", BatchJobs.lines(BatchFleet.IDEMPOTENT, 2000));
			fleet.live().forEach((host) -> workers.start(host, BatchFleet.IDEMPOTENT, false));
			until(() -> completed(fleet, "host-0", job.id()) > 200, "job did not start");
			String owner = owner(fleet, job.id().partition());
			fleet.kill(owner);
			String survivor = fleet.live().get(0);
			until(() -> finished(fleet, survivor, job.id()), "job did not finish after the loss of its owner");
			Assert.assertEquals(fleet.results(survivor, job.id()).size(), 2000);
			Assert.assertEquals(ids(fleet.results(survivor, job.id())).size(), 2000);
		}
	}

	@Test
	void resentKeyGivesTheSameJobThroughAnyHostAndAnotherBodyFails() {
		try (BatchFleet fleet = BatchFleet.start(3, 4, 200)) {
			byte[] body = BatchJobs.lines(BatchFleet.IDEMPOTENT, 10);
			BatchId first = fleet.submit("host-0", "key", body).id();
			Assert.assertEquals(fleet.submit("host-1", "key", body).id(), first);
			fleet.kill("host-0");
			Assert.assertEquals(fleet.submit("host-2", "key", body).id(), first);
			ConflictException conflict = Assert.expectThrows(ConflictException.class,
					() -> fleet.submit("host-1", "key", BatchJobs.lines(BatchFleet.IDEMPOTENT, 11)));
			Assert.assertEquals(conflict.getCode(), ErrorCode.KEY_REUSED);
		}
	}

	@Test
	void cancelledJobStops() {
		try (BatchFleet fleet = BatchFleet.start(2, 2, 200);
				WorkerPool workers = new WorkerPool(fleet, 4, WorkerPool::complete)) {
			JobStatus job = fleet.submit("host-0", "", BatchJobs.lines(BatchFleet.IDEMPOTENT, 3000));
			workers.start("host-1", BatchFleet.IDEMPOTENT, false);
			until(() -> completed(fleet, "host-0", job.id()) > 20, "job did not start");
			JobStatus cancelled = fleet.get("host-1").cancel(BatchFleet.WORKSPACE, job.id()).await().indefinitely();
			Assert.assertEquals(cancelled.state(), JobStatus.State.CANCELLED);
			Assert.assertTrue(cancelled.cancelled() > 0);
			LockSupport.parkNanos(Duration.ofMillis(500).toNanos());
			Assert.assertEquals(fleet.status("host-0", job.id()).completed(), cancelled.completed());
			Assert.assertEquals(ids(fleet.results("host-0", job.id())).size(), 3000);
		}
	}

	@Test
	void nonIdempotentItemRunsAtMostOnceWhenItsOwnerIsLost() {
		try (BatchFleet fleet = BatchFleet.start(3, 2, 200);
				WorkerPool workers = new WorkerPool(fleet, 4, WorkerPool::complete)) {
			JobStatus job = fleet.submit("host-0", "", BatchJobs.lines(BatchFleet.ONCE, 300));
			fleet.live().forEach((host) -> workers.start(host, BatchFleet.ONCE, false));
			until(() -> completed(fleet, "host-0", job.id()) > 30, "job did not start");
			fleet.kill(owner(fleet, job.id().partition()));
			String survivor = fleet.live().get(0);
			until(() -> finished(fleet, survivor, job.id()), "job did not finish");
			workers.runs().forEach((item, runs) -> Assert.assertEquals(runs.get(), 1, "runs of " + item));
			Assert.assertEquals(ids(fleet.results(survivor, job.id())).size(), 300);
		}
	}

	@Test
	void itemUnderWhichRunnersCrashedCompletesLikeTheOthers() {
		AtomicInteger crashes = new AtomicInteger();
		try (BatchFleet fleet = BatchFleet.start(2, 2, 200);
				WorkerPool workers = new WorkerPool(fleet, 4,
						(item) -> (item.getIndex() == 7 && crashes.incrementAndGet() <= 5)
								? WorkOutcome.newBuilder().setStatus(WorkStatus.WORK_CRASHED)
								: WorkerPool.complete(item))) {
			JobStatus job = fleet.submit("host-0", "", BatchJobs.lines(BatchFleet.IDEMPOTENT, 40));
			workers.start("host-0", BatchFleet.IDEMPOTENT, false);
			workers.start("host-1", BatchFleet.IDEMPOTENT, true);
			until(() -> finished(fleet, "host-0", job.id()), "job did not finish");
			Assert.assertEquals(fleet.status("host-1", job.id()).failed(), 0);
			Assert.assertEquals(workers.runs().get(job.id() + "/7").get(), 6);
			Assert.assertEquals(ids(fleet.results("host-0", job.id())).size(), 40);
		}
	}

	@Test
	void jobIsRefusedTrulyDuringAnOutageAndAcceptedAfterIt() {
		try (BatchFleet fleet = BatchFleet.start(2, 2, 200)) {
			byte[] body = BatchJobs.lines(BatchFleet.IDEMPOTENT, 10);
			fleet.submit("host-0", "before", body);
			fleet.log().outage(CallFault.REFUSED_BEFORE);
			RefusedException refused = Assert.expectThrows(RefusedException.class,
					() -> fleet.submit("host-0", "during", body));
			Assert.assertEquals(refused.getExecutionState(), ExecutionState.NOT_RUN);
			Assert.assertTrue(refused.getRetryAfter().isPresent());
			fleet.log().outage(null);
			Assert.assertEquals(fleet.submit("host-1", "during", body).items(), 10);
		}
	}

	@Test
	void resultsOfAnUnfinishedJobAreRefusedDuringAnOutage() {
		try (BatchFleet fleet = BatchFleet.start(2, 2, 200)) {
			JobStatus job = fleet.submit("host-0", "key", BatchJobs.lines(BatchFleet.IDEMPOTENT, 10));
			Assert.assertTrue(fleet.results("host-0", job.id()).isEmpty());
			fleet.log().outage(CallFault.REFUSED_BEFORE);
			RefusedException refused = Assert.expectThrows(RefusedException.class,
					() -> fleet.results("host-0", job.id()));
			Assert.assertEquals(refused.getCode(), ErrorCode.PLATFORM_UNAVAILABLE);
			Assert.assertTrue(refused.getRetryAfter().isPresent());
			Assert.assertEquals(fleet.status("host-0", job.id()).items(), 10);
		}
	}

	@Test
	void growingFleetNeverRepeatsASequenceAndEveryPartitionHasAnOwner() throws Exception {
		int partitions = 12;
		try (BatchFleet fleet = BatchFleet.start(1, partitions, 200);
				WorkerPool workers = new WorkerPool(fleet, 4, WorkerPool::complete)) {
			for (int i = 1; i < 5; i++) {
				fleet.add("late-" + i);
				fleet.submit("host-0", "job-" + i, BatchJobs.lines(BatchFleet.IDEMPOTENT, 5));
			}
			fleet.live().forEach((host) -> workers.start(host, BatchFleet.IDEMPOTENT, false));
			for (int i = 5; i < 20; i++) {
				String host = fleet.live().get(i % fleet.live().size());
				JobStatus job = fleet.submit(host, "job-" + i, BatchJobs.lines(BatchFleet.IDEMPOTENT, 5));
				until(() -> finished(fleet, host, job.id()), "job did not finish: " + job.id());
			}
			for (int partition = 0; partition < partitions; partition++) {
				Set<String> triples = new TreeSet<>();
				for (StoredRecord stored : fleet.log().records("jobs-" + partition)) {
					LogRecord found = LogRecord.parseFrom(stored.payload());
					Assert.assertTrue(
							triples.add(found.getHost() + "/" + found.getIncarnation() + "/" + found.getSequence()),
							"repeated in jobs-" + partition + ": " + found.getHost() + "/" + found.getSequence());
				}
			}
		}
	}

	@Test
	void malformedLineIsNamedAndNothingIsAccepted() {
		try (BatchFleet fleet = BatchFleet.start(1, 1, 200)) {
			String twice = new String(BatchJobs.lines(BatchFleet.IDEMPOTENT, 2), StandardCharsets.UTF_8)
				.replace("row-1", "row-0");
			InvalidRequestException failure = Assert.expectThrows(InvalidRequestException.class,
					() -> fleet.submit("host-0", "key", twice.getBytes(StandardCharsets.UTF_8)));
			Assert.assertEquals(failure.getCode(), ErrorCode.CUSTOM_ID_DUPLICATE);
			Assert.assertTrue(failure.getMessage().contains("line 2"), failure.getMessage());
			Assert.assertEquals(fleet.submit("host-0", "key", BatchJobs.lines(BatchFleet.IDEMPOTENT, 1)).items(), 1);
		}
	}

	@Test
	void stateSurvivesTheExpiryOfItsRecords() {
		try (BatchFleet fleet = BatchFleet.start(2, 1, 2000, (log) -> log.retainRecords(60), 60, Duration.ZERO);
				WorkerPool workers = new WorkerPool(fleet, 2, WorkerPool::complete)) {
			JobStatus job = fleet.submit("host-0", "key", BatchJobs.lines(BatchFleet.IDEMPOTENT, 200));
			fleet.live().forEach((host) -> workers.start(host, BatchFleet.IDEMPOTENT, false));
			until(() -> finished(fleet, "host-0", job.id()), "job did not finish");
			JobStatus cancelled = fleet.submit("host-0", "", BatchJobs.lines(BatchFleet.ONCE, 5));
			fleet.get("host-0").cancel(BatchFleet.WORKSPACE, cancelled.id()).await().indefinitely();
			while (fleet.log().appends() < 300) {
				fleet.submit("host-1", "", BatchJobs.lines(BatchFleet.IDEMPOTENT, 1));
				fleet.log().trim();
			}
			Assert.assertTrue(fleet.log().records("jobs-0").get(0).offset() > 200, "nothing expired");
			fleet.add("host-9");
			Assert.assertEquals(ids(fleet.results("host-9", job.id())).size(), 200);
			Assert.assertEquals(fleet.results("host-9", cancelled.id()).size(), 5);
			Assert.assertEquals(fleet.submit("host-9", "key", BatchJobs.lines(BatchFleet.IDEMPOTENT, 200)).id(),
					job.id());
		}
	}

	@Test
	void resultsOfAnIdlePartitionSurviveTheirAge() {
		Duration retained = Duration.ofSeconds(6);
		try (BatchFleet fleet = BatchFleet.start(2, 1, 2000, (log) -> log.retainFor(retained), 100_000, retained);
				WorkerPool workers = new WorkerPool(fleet, 16, WorkerPool::complete)) {
			JobStatus job = fleet.submit("host-0", "key", BatchJobs.lines(BatchFleet.IDEMPOTENT, 200));
			workers.start("host-0", BatchFleet.IDEMPOTENT, false);
			until(() -> finished(fleet, "host-0", job.id()), "job did not finish");
			long first = fleet.log().records("jobs-0").get(0).offset();
			long last = fleet.log().appends();
			until(() -> {
				fleet.log().trim();
				return fleet.log().records("jobs-0").get(0).offset() > last;
			}, "records did not expire after offset " + first);
			fleet.add("host-9");
			Assert.assertEquals(ids(fleet.results("host-9", job.id())).size(), 200);
		}
	}

	private static boolean finished(BatchFleet fleet, String host, BatchId id) {
		return fleet.status(host, id).state() != JobStatus.State.IN_PROGRESS;
	}

	private static int completed(BatchFleet fleet, String host, BatchId id) {
		return fleet.status(host, id).completed();
	}

	private static String owner(BatchFleet fleet, int partition) {
		for (String host : fleet.live()) {
			if (fleet.get(host).ownedPartitions().stream().anyMatch((view) -> view.getPartition() == partition)) {
				return host;
			}
		}
		throw new AssertionError("nobody owns partition " + partition);
	}

	private static Set<String> ids(List<String> lines) {
		Set<String> ids = new TreeSet<>();
		lines.forEach((line) -> ids.add(line.substring(0, line.indexOf(','))));
		return ids;
	}

	private static void until(BooleanSupplier condition, String what) {
		long end = System.nanoTime() + LIMIT_NANOS;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < end, what);
			LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
		}
	}

}
