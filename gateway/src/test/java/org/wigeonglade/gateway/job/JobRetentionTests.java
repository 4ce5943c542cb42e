package org.wigeonglade.gateway.job;

import java.time.Duration;
import java.util.List;

import com.google.protobuf.ByteString;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.gateway.store.KeyedRecord;

/**
 * Guards against a stream that grows without bound, and against results that are removed
 * while they must be readable.
 */
public class JobRetentionTests {

	private static final JobId JOB = JobId.of("job");

	private static final long SUBMITTED = 1_000_000;

	private final JobRetention retention = new JobRetention(Duration.ofSeconds(120));

	@Test
	public void openJobIsNeverRemoved() {
		Assert.assertTrue(
				this.retention.selectExpired(jobTable(false).getJobs(), SUBMITTED + 900_000, (j) -> true).isEmpty());
	}

	@Test
	public void finishedJobIsKeptForTheGuaranteedTime() {
		JobTable table = jobTable(true);
		Assert.assertTrue(this.retention.selectExpired(table.getJobs(), SUBMITTED + 120_000, (j) -> true).isEmpty());
		Assert.assertTrue(this.retention.selectExpired(table.getJobs(), SUBMITTED + 140_000, (j) -> false).isEmpty());
		List<KeyedRecord> dropped = this.retention.selectExpired(table.getJobs(), SUBMITTED + 140_000, (j) -> true);
		Assert.assertEquals(dropped.size(), 2);
		dropped.forEach(table::apply);
		Assert.assertTrue(table.find(JOB).isEmpty());
	}

	private static JobTable jobTable(boolean done) {
		JobTable table = new JobTable();
		SubmittedItem item = new SubmittedItem(ItemId.of("i"), "/p/", List.of(), new byte[0], 1);
		JobRecords.write(new SubmittedJob(JOB, "h", "/p/", SUBMITTED, List.of(item))).forEach(table::apply);
		if (done) {
			table.apply(JobRecords.write(JOB, new ItemOutcome(ItemId.of("i"), true, ByteString.EMPTY), "", "w.1"));
		}
		return table;
	}

}
