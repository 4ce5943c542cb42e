package org.wigeonglade.entry.operator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.account.AccountCode;
import org.wigeonglade.core.account.AccountEventBuffer;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.core.id.StreamName;
import org.wigeonglade.core.platform.LogService;
import org.wigeonglade.core.platform.LogSlice;
import org.wigeonglade.core.time.ManualTicker;
import org.wigeonglade.schema.generated.log.LogEntry;
import org.wigeonglade.schema.generated.log.LogRecord;

/**
 * Guards against durable account events that are lost in an outage of the log, or whose
 * sequence number or event id changes when the append is retried.
 */
public class DurableEventWriterTests {

	private static final HostId HOST = HostId.of("entry-1");

	private final ManualTicker ticker = ManualTicker.startingAt(1_000_000);

	@DataProvider
	Object[][] failures() {
		return new Object[][] { { ErrorCode.PLATFORM_UNAVAILABLE, 1 }, { ErrorCode.PLATFORM_UNKNOWN, 2 } };
	}

	@Test(dataProvider = "failures")
	void failedAppendIsRetriedWithSameSequenceNumber(ErrorCode code, int copies) {
		FailingLog log = new FailingLog(code);
		DurableEventWriter durable = new DurableEventWriter(log, HOST, 7, this.ticker);
		AccountEventBuffer buffer = AccountEventBuffer.create(HOST, 7, this.ticker,
				AccountEventBuffer.DEFAULT_CAPACITY);
		buffer.setDurableSink(durable);
		String event = buffer.record(AccountCode.TAKEN_OVER, "partition", "3", null, Map.of("term", "2"));
		durable.flush();
		durable.flush();
		durable.flush();
		Assert.assertEquals(log.records.size(), copies);
		for (LogRecord record : log.records) {
			Assert.assertEquals(record.getSequence(), 1);
			Assert.assertEquals(record.getEntries(0).getAccountRecord().getEventId(), event);
		}
	}

	@Test
	void pendingEventsAreAppendedInOneRecord() {
		FailingLog log = new FailingLog(null);
		DurableEventWriter durable = new DurableEventWriter(log, HOST, 7, this.ticker);
		AccountEventBuffer buffer = AccountEventBuffer.create(HOST, 7, this.ticker,
				AccountEventBuffer.DEFAULT_CAPACITY);
		buffer.setDurableSink(durable);
		IntStream.range(0, 100)
			.forEach((i) -> buffer.record(AccountCode.HOST_LOST, "host", "entry-" + i, null, Map.of()));
		durable.flush();
		Assert.assertEquals(log.records.size(), 1);
		Assert.assertEquals(log.records.get(0).getEntriesList().stream().filter(LogEntry::hasAccountRecord).count(),
				100);
		Assert.assertEquals(durable.getDroppedCount(), 0);
	}

	/**
	 * Fails the first append. With {@code PLATFORM_UNKNOWN} the record is stored
	 * nevertheless.
	 */
	private static final class FailingLog implements LogService {

		private final List<LogRecord> records = new ArrayList<>();

		private ErrorCode failure;

		FailingLog(ErrorCode failure) {
			this.failure = failure;
		}

		@Override
		public Uni<Long> append(StreamName stream, byte[] record) {
			ErrorCode code = this.failure;
			this.failure = null;
			if (code != ErrorCode.PLATFORM_UNAVAILABLE) {
				try {
					this.records.add(LogRecord.parseFrom(record));
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			}
			return (code != null) ? Uni.createFrom().failure(new PlatformException(code, "scripted", null))
					: Uni.createFrom().item((long) this.records.size() - 1);
		}

		@Override
		public Uni<LogSlice> read(StreamName stream, long fromOffset, int maxRecords) {
			throw new UnsupportedOperationException();
		}

	}

}
