package org.wigeonglade.gateway.job;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.ScheduledFuture;
import org.wigeonglade.core.time.Ticker;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerProgress;
import org.wigeonglade.gateway.fleet.WorkKind;
import org.wigeonglade.gateway.runner.ConnectionUse;
import org.wigeonglade.gateway.runner.Fleet;
import org.wigeonglade.gateway.runner.RunnerCall;
import org.wigeonglade.gateway.runner.RunnerFailure;
import org.wigeonglade.gateway.runner.RunnerRequest;
import org.wigeonglade.gateway.runner.RunnerResponseHead;
import org.wigeonglade.gateway.stream.EventSequence;
import org.wigeonglade.gateway.stream.StreamBinding;
import org.wigeonglade.gateway.stream.StreamEvent;
import org.wigeonglade.gateway.stream.StreamParser;
import org.wigeonglade.gateway.workspace.RequestIdentity;

/**
 * Execution state of one item on this host, across all of its runs. Received output is
 * kept, and the next run resumes after the last complete event. Confined to the event
 * loop.
 */
final class ItemRun {

	/**
	 * Time in milliseconds without progress after which a run is aborted and resumed on
	 * another runner. No user waits for a batch item, so this is longer than for online
	 * streams.
	 */
	private static final long IDLE_TIMEOUT_MILLIS = 2_000;

	/**
	 * Largest output in bytes. The result must fit into one record of the store, which
	 * holds 256 KiB.
	 */
	private static final int MAX_OUTPUT_BYTES = 250 * 1024;

	private final Job job;

	private final SubmittedItem item;

	private final Listener listener;

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private EventSequence sequence = EventSequence.ofResumable(OptionalLong.empty());

	private StreamBinding binding = new StreamBinding.Open();

	private int events;

	private int attempts;

	private boolean freshConnection;

	private RunnerCall call;

	private Receiver receiver;

	private ConnectionUse connectionUse = ConnectionUse.NONE;

	private long notBeforeMillis;

	private long runMillis;

	private long endedMillis;

	private long lastEventMillis;

	ItemRun(Job job, SubmittedItem item, Listener listener) {
		this.job = job;
		this.item = item;
		this.listener = listener;
	}

	Job getJob() {
		return this.job;
	}

	SubmittedItem getItem() {
		return this.item;
	}

	boolean isRunning() {
		return this.call != null;
	}

	RunnerEntry getRunner() {
		return (this.call != null) ? this.call.getRunner() : null;
	}

	// Returns the use of the connection by the last run that ended.
	ConnectionUse getConnectionUse() {
		return this.connectionUse;
	}

	OptionalLong getLastEvent() {
		return this.sequence.getLast();
	}

	int getEvents() {
		return this.events;
	}

	long getRunMillis() {
		return this.runMillis;
	}

	int getAttempts() {
		return this.attempts;
	}

	ByteString getOutput() {
		return ByteString.copyFrom(this.output.toByteArray());
	}

	long getEndedMillis() {
		return this.endedMillis;
	}

	long getLastEventMillis() {
		return this.lastEventMillis;
	}

	StreamBinding getBinding() {
		return this.binding;
	}

	// Adds the version of the process that began the output, if it is known by now.
	void resolveBinding(Fleet fleet) {
		this.binding = this.binding.resolve(fleet::findVersion);
	}

	/**
	 * Discards the output, so that any runner may begin the item anew.
	 */
	void discardOutput() {
		this.output.reset();
		this.events = 0;
		this.runMillis = 0;
		this.sequence = EventSequence.ofResumable(OptionalLong.empty());
		this.binding = new StreamBinding.Open();
	}

	boolean isDelayed(long nowMillis) {
		return nowMillis < this.notBeforeMillis;
	}

	void delayUntil(long untilMillis) {
		this.notBeforeMillis = untilMillis;
	}

	void start(Fleet fleet, EventLoop loop, Ticker ticker, RunnerEntry runner, Duration remaining) {
		this.attempts++;
		HttpHeaders headers = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : this.item.headers()) {
			headers.add(header.getKey(), header.getValue());
		}
		headers.set(HttpHeaderNames.HOST, this.job.getHostName());
		RunnerRequest request = new RunnerRequest(this.item.id().value(), HttpMethod.POST, this.item.path(), headers,
				this.item.body(), ticker.millis() + remaining.toMillis(), this.sequence.getLast(),
				Optional.of(this.binding), true, RequestIdentity.ofJob(this.job.getWorkspace()), this.freshConnection,
				this.item.tokens());
		Receiver current = new Receiver(loop, ticker, runner,
				new RunnerProgress(fleet.getSpeeds(), WorkKind.ITEM_EVENT, false, ticker.millis()));
		this.receiver = current;
		RunnerCall started = RunnerCall.start(fleet, runner, request, current);
		if (!current.finished) {
			this.call = started;
			current.startIdleTimer();
		}
	}

	void cancel() {
		if (this.call != null) {
			RunnerCall cancelled = this.call;
			this.receiver.finish();
			cancelled.cancel();
		}
	}

	/**
	 * Receives the end of each run, unless the run is cancelled: a complete response, an
	 * error response, or a failure before the response was complete.
	 */
	interface Listener {

		void completed(ItemRun run, RunnerEntry runner);

		void errorResponseReceived(ItemRun run, RunnerEntry runner, RunnerResponseHead head);

		void aborted(ItemRun run, RunnerEntry runner, RunnerFailure failure);

	}

	private final class Receiver implements RunnerCall.Listener {

		private final EventLoop loop;

		private final Ticker ticker;

		private final RunnerEntry runner;

		private final StreamParser parser = new StreamParser();

		private RunnerResponseHead head;

		private final long startedMillis;

		private long progressMillis;

		private boolean finished;

		private ScheduledFuture<?> idleTimer;

		private final RunnerProgress progress;

		private Receiver(EventLoop loop, Ticker ticker, RunnerEntry runner, RunnerProgress progress) {
			this.progress = progress;
			this.loop = loop;
			this.ticker = ticker;
			this.runner = runner;
			this.startedMillis = ticker.millis();
			this.progressMillis = this.startedMillis;
		}

		private void addRunTime() {
			ItemRun.this.endedMillis = this.ticker.millis();
			ItemRun.this.runMillis += ItemRun.this.endedMillis - this.startedMillis;
		}

		@Override
		public void head(RunnerResponseHead head, HttpHeaders headers) {
			this.head = head;
		}

		@Override
		public void content(byte[] bytes) {
			if (!this.head.isSuccess() || this.finished) {
				return;
			}
			List<StreamEvent> received;
			try {
				received = this.parser.add(bytes);
			}
			catch (IllegalStateException ex) {
				abort(RunnerFailure.Kind.BROKEN, ex.getMessage());
				return;
			}
			if (received.stream().anyMatch(StreamEvent::hasContent)) {
				this.progressMillis = this.ticker.millis();
				this.progress.eventsReceived(ItemRun.this.call.getRunner(), false,
						(int) received.stream().filter(StreamEvent::hasContent).count(), this.progressMillis);
			}
			for (StreamEvent event : received) {
				Optional<String> fault = ItemRun.this.sequence.add(event);
				if (fault.isPresent()) {
					abort(RunnerFailure.Kind.BROKEN, fault.get());
					return;
				}
				if (event.id() < 0) {
					continue;
				}
				ItemRun.this.binding = ItemRun.this.binding.afterEventFrom(ItemRun.this.call.getRunner());
				ItemRun.this.lastEventMillis = this.ticker.millis();
				if (ItemRun.this.events++ > 0) {
					ItemRun.this.output.write('\n');
				}
				ItemRun.this.output.writeBytes(event.getData());
				if (ItemRun.this.output.size() > MAX_OUTPUT_BYTES) {
					abort(RunnerFailure.Kind.BROKEN, "the output is larger than " + MAX_OUTPUT_BYTES + " bytes");
					discardOutput();
					return;
				}
			}
		}

		@Override
		public void end() {
			if (this.head.isSuccess() && !this.parser.mayEnd(this.head.delimited())) {
				failed(new RunnerFailure(RunnerFailure.Kind.BROKEN,
						"the stream ended within an event or before the first"));
				return;
			}
			if (this.head.notRun() && !this.head.wrongRunner() && !this.head.leaving()) {
				this.progress.refused(this.runner, this.ticker.millis());
			}
			finish();
			if (this.head.isSuccess()) {
				ItemRun.this.listener.completed(ItemRun.this, this.runner);
			}
			else {
				ItemRun.this.listener.errorResponseReceived(ItemRun.this, this.runner, this.head);
			}
		}

		@Override
		public void failed(RunnerFailure failure) {
			ItemRun.this.freshConnection = switch (failure.kind()) {
				case STALE_CONNECTION, RESTARTED -> true;
				case UNREACHABLE, NO_CONNECTION, UNIDENTIFIED, BROKEN, MALFORMED, DESYNCHRONIZED, SILENT -> false;
			};
			finish();
			ItemRun.this.listener.aborted(ItemRun.this, this.runner, failure);
		}

		private void abort(RunnerFailure.Kind kind, String reason) {
			if (ItemRun.this.call != null) {
				ItemRun.this.call.cancel();
			}
			failed(new RunnerFailure(kind, reason));
		}

		private void finish() {
			addRunTime();
			this.finished = true;
			ItemRun.this.connectionUse = (ItemRun.this.call != null) ? ItemRun.this.call.getConnectionUse()
					: ConnectionUse.NONE;
			ItemRun.this.call = null;
			if (this.idleTimer != null) {
				this.idleTimer.cancel(false);
			}
		}

		private void startIdleTimer() {
			this.idleTimer = this.loop.schedule(this::checkIdle, IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}

		private void checkIdle() {
			if (this.finished) {
				return;
			}
			long remainingMillis = this.progressMillis + IDLE_TIMEOUT_MILLIS - this.ticker.millis();
			if (remainingMillis > 0) {
				this.idleTimer = this.loop.schedule(this::checkIdle, remainingMillis, TimeUnit.MILLISECONDS);
			}
			else {
				ItemRun.this.call.recordSilence();
				abort(RunnerFailure.Kind.SILENT, "no data received for " + IDLE_TIMEOUT_MILLIS + " ms");
			}
		}

	}

}
