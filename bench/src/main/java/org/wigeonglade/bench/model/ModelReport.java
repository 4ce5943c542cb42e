package org.wigeonglade.bench.model;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a run of the model showed.
 *
 * @param streams the streams that arrived
 * @param late the streams whose first event came later than the target allows from their
 * last visit on
 * @param secondVisit the streams in time that had been refused at their first visit
 * @param refused the streams that were refused at their last visit
 * @param declined the sends that a runner with a full queue declined
 * @param items the items whose due time lies within the run
 * @param itemsInTime the items of those that were done in time
 * @param preemptions the items that gave a slot back
 * @param firstMillis the times to the first event in ascending order, in milliseconds
 * @param idleWhileWaiting the mean of slots that were idle while streams waited in a
 * runner's queue
 * @param batchWhileWaiting the mean of slots held by items at those moments
 * @param workSeconds the work that was done, in seconds of a runner of mean speed
 * @param sent the streams sent in each 100 ms
 * @param sentToSlowed those of them that were sent to runners which are slow for a time
 * @param shares the shares served in time by workspace, urgency and size, by name; empty
 * without workspaces; not null
 */
public record ModelReport(int streams, int late, int secondVisit, int refused, int declined, int items, int itemsInTime,
		int preemptions, List<Double> firstMillis, double idleWhileWaiting, double batchWhileWaiting,
		double workSeconds, List<Integer> sent, List<Integer> sentToSlowed, Map<String, Number> shares) {

	/** Value of a stream that is late. */
	private static final double LATE_VALUE = 0.15;

	/** Value of a stream that is in time at its second visit. */
	private static final double SECOND_VISIT_VALUE = (1 + LATE_VALUE) / 2;

	/**
	 * Returns the share of streams that were late or refused.
	 * @return a number from 0 to 1
	 */
	public double getLateShare() {
		return (double) (this.late + this.refused) / Math.max(1, this.streams);
	}

	/**
	 * Returns what callers have of their streams: 1 for each that is in time, less for
	 * one that had to come back, little for a late one.
	 * @return the mean over all streams, from 0 to 1
	 */
	public double getStreamValue() {
		int first = getAnswered() - this.late - this.secondVisit;
		return (first + SECOND_VISIT_VALUE * this.secondVisit + LATE_VALUE * this.late) / Math.max(1, this.streams);
	}

	private int getAnswered() {
		return this.firstMillis.size();
	}

	/**
	 * Returns the share of items that were done in time.
	 * @return a number from 0 to 1
	 */
	public double getItemsInTimeShare() {
		return (this.items == 0) ? 1 : (double) this.itemsInTime / this.items;
	}

	/**
	 * Returns a quantile of the time to the first event.
	 * @param share the share of streams below it, from 0 to 1
	 * @return milliseconds, 0 if no stream was answered
	 */
	public double getFirstMillis(double share) {
		if (this.firstMillis.isEmpty()) {
			return 0;
		}
		int index = (int) Math.min(this.firstMillis.size() - 1.0, Math.floor(share * this.firstMillis.size()));
		return this.firstMillis.get(index);
	}

	/**
	 * Returns the share of streams that were sent to runners which are slow for a time.
	 * @param fromMillis the start, a multiple of 100 ms
	 * @param untilMillis the end, a multiple of 100 ms
	 * @return a number from 0 to 1
	 */
	public double getSlowedShare(int fromMillis, int untilMillis) {
		int all = 0;
		int slowed = 0;
		for (int i = fromMillis / 100; i < Math.min(untilMillis / 100, this.sent.size()); i++) {
			all += this.sent.get(i);
			slowed += this.sentToSlowed.get(i);
		}
		return (double) slowed / Math.max(1, all);
	}

	/**
	 * Returns all figures by name.
	 * @return the figures in order, never null
	 */
	public Map<String, Number> getFigures() {
		Map<String, Number> figures = new LinkedHashMap<>();
		figures.put("streams", this.streams);
		figures.put("late", this.late);
		figures.put("second_visit", this.secondVisit);
		figures.put("refused", this.refused);
		figures.put("stream_value", getStreamValue());
		figures.put("late_share", getLateShare());
		figures.put("first_p50_ms", getFirstMillis(0.5));
		figures.put("first_p95_ms", getFirstMillis(0.95));
		figures.put("first_p99_ms", getFirstMillis(0.99));
		figures.put("declined", this.declined);
		figures.put("items", this.items);
		figures.put("items_in_time_share", getItemsInTimeShare());
		figures.put("preemptions", this.preemptions);
		figures.put("idle_slots_while_waiting", this.idleWhileWaiting);
		figures.put("batch_slots_while_waiting", this.batchWhileWaiting);
		figures.put("work_s", this.workSeconds);
		figures.putAll(this.shares);
		return figures;
	}

}
