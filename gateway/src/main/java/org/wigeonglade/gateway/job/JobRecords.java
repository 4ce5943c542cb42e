package org.wigeonglade.gateway.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import com.google.protobuf.UnsafeByteOperations;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.gateway.store.KeyedRecord;
import org.wigeonglade.schema.generated.gateway.ItemHeader;
import org.wigeonglade.schema.generated.gateway.ItemResult;
import org.wigeonglade.schema.generated.gateway.ItemState;
import org.wigeonglade.schema.generated.gateway.JobEnd;
import org.wigeonglade.schema.generated.gateway.JobItem;
import org.wigeonglade.schema.generated.gateway.JobPart;

/**
 * Encodes jobs as records of the gateway's own stream and decodes them. Keys:
 * {@code j/JOB/PART} for a part of a job, {@code r/JOB/ITEM/ATTEMPT} for a result,
 * {@code e/JOB} for the end of a job. Each attempt to append a result has a key of its
 * own. Otherwise, a second append of a result would replace the first record when the
 * store compacts the stream, and the result would change its position.
 */
public final class JobRecords {

	/** Key prefix of the parts of jobs. */
	static final String PART_PREFIX = "j/";

	/** Key prefix of results. */
	static final String RESULT_PREFIX = "r/";

	/** Key prefix of the ends of jobs. */
	static final String END_PREFIX = "e/";

	/**
	 * Target size of a part in bytes: half of the maximum record size, so that one more
	 * item of ordinary size still fits.
	 */
	private static final int PART_BYTES = 96 * 1024;

	private JobRecords() {
	}

	/**
	 * Encodes a job as one or more parts.
	 * @param job the job, not null
	 * @return the records, which must be appended in one call
	 */
	public static List<KeyedRecord> write(SubmittedJob job) {
		List<List<JobItem>> parts = split(job);
		List<KeyedRecord> records = new ArrayList<>();
		int first = 0;
		for (int i = 0; i < parts.size(); i++) {
			JobPart part = JobPart.newBuilder()
				.setJobId(job.id().value())
				.setSubmittedAtMs(job.submittedAtMillis())
				.setRouteHost(job.hostName())
				.setRoutePath(job.path())
				.setPart(i)
				.setParts(parts.size())
				.setWorkspace(job.workspace().map(WorkspaceId::value).orElse(""))
				.setTotalItems(job.items().size())
				.setFirstItem(first)
				.addAllItems(parts.get(i))
				.build();
			records.add(KeyedRecord.of(PART_PREFIX + job.id() + "/" + i, part.toByteArray()));
			first += parts.get(i).size();
		}
		return records;
	}

	/**
	 * Encodes the result of an item.
	 * @param job the job, not null
	 * @param outcome the result, not null
	 * @param reason the reason for giving the item up; empty if it completed
	 * @param attemptKey a key suffix that is unique to this attempt to append, not null
	 * @return the record, never null
	 */
	public static KeyedRecord write(JobId job, ItemOutcome outcome, String reason, String attemptKey) {
		ItemResult result = ItemResult.newBuilder()
			.setJobId(job.value())
			.setItemId(outcome.item().value())
			.setState(outcome.completed() ? ItemState.ITEM_STATE_COMPLETED : ItemState.ITEM_STATE_DEAD_LETTER)
			.setOutput(outcome.output())
			.setReason(reason)
			.build();
		return KeyedRecord.of(RESULT_PREFIX + job + "/" + outcome.item() + "/" + attemptKey, result.toByteArray());
	}

	/**
	 * Encodes the end of a job.
	 * @param job the job, not null
	 * @return the record, never null
	 */
	public static KeyedRecord writeEnd(JobId job) {
		return KeyedRecord.of(END_PREFIX + job, JobEnd.newBuilder().setJobId(job.value()).build().toByteArray());
	}

	static JobPart readPart(KeyedRecord record) {
		return parse(record, JobPart.parser());
	}

	static ItemResult readResult(KeyedRecord record) {
		return parse(record, ItemResult.parser());
	}

	static JobEnd readEnd(KeyedRecord record) {
		return parse(record, JobEnd.parser());
	}

	// Outputs are views of the value of the record, since a second copy of all of them
	// does
	// not fit into the memory while the stream is listed.
	private static <T> T parse(KeyedRecord record, Parser<T> parser) {
		CodedInputStream input = UnsafeByteOperations.unsafeWrap(record.value()).newCodedInput();
		input.enableAliasing(true);
		try {
			T message = parser.parseFrom(input);
			input.checkLastTagWas(0);
			return message;
		}
		catch (InvalidProtocolBufferException ex) {
			throw new PlatformException(ErrorCode.RECORD_INVALID,
					"the record at offset " + record.offset() + " with key '" + record.key() + "' cannot be decoded",
					ex);
		}
	}

	private static List<List<JobItem>> split(SubmittedJob job) {
		List<List<JobItem>> parts = new ArrayList<>();
		List<JobItem> part = new ArrayList<>();
		int bytes = 0;
		for (SubmittedItem item : job.items()) {
			JobItem next = write(item);
			if (!part.isEmpty() && bytes + next.getSerializedSize() > PART_BYTES) {
				parts.add(part);
				part = new ArrayList<>();
				bytes = 0;
			}
			part.add(next);
			bytes += next.getSerializedSize();
		}
		parts.add(part);
		return parts;
	}

	private static JobItem write(SubmittedItem item) {
		JobItem.Builder builder = JobItem.newBuilder()
			.setId(item.id().value())
			.setPath(item.path())
			.setBody(ByteString.copyFrom(item.body()))
			.setTokens(item.tokens());
		for (Map.Entry<String, String> header : item.headers()) {
			builder.addHeaders(ItemHeader.newBuilder().setName(header.getKey()).setValue(header.getValue()));
		}
		return builder.build();
	}

	static SubmittedItem read(JobItem item) {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		item.getHeadersList().forEach((h) -> headers.add(Map.entry(h.getName(), h.getValue())));
		return new SubmittedItem(ItemId.of(item.getId()), item.getPath(), headers, item.getBody().toByteArray(),
				item.getTokens());
	}

}
