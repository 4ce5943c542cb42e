package org.wigeonglade.bench.load;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.wigeonglade.bench.client.Answer;

/**
 * Sends requests at their planned times without waiting for earlier ones. Latencies count
 * from the planned time, so that a stall of the system or of the generator is not
 * omitted.
 */
public final class LoadGenerator {

	private static final long MAX_MICROS = 600_000_000L;

	private static final int DIGITS = 3;

	private static final long NANOS_PER_MICRO = 1000;

	private final Vertx vertx;

	private final LoadPlan plan;

	private final RequestSender sender;

	private final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, DIGITS);

	private final Histogram gap = new ConcurrentHistogram(MAX_MICROS, DIGITS);

	private final Histogram whole = new ConcurrentHistogram(MAX_MICROS, DIGITS);

	private final Histogram lateness = new ConcurrentHistogram(MAX_MICROS, DIGITS);

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicLong tokens = new AtomicLong();

	private final Map<String, Integer> errors = new TreeMap<>();

	private LoadGenerator(Vertx vertx, LoadPlan plan, RequestSender sender) {
		this.vertx = vertx;
		this.plan = plan;
		this.sender = sender;
	}

	/**
	 * Runs a plan.
	 * @param vertx the event loops, not null
	 * @param plan when requests arrive, not null
	 * @param sender sends each request, not null
	 * @return the measurement after the last answer
	 */
	public static Future<LoadMeasurement> run(Vertx vertx, LoadPlan plan, RequestSender sender) {
		return new LoadGenerator(vertx, plan, sender).run();
	}

	private Future<LoadMeasurement> run() {
		long[] arrivals = this.plan.arrivals();
		Promise<Void> done = Promise.promise();
		if (arrivals.length == 0) {
			done.complete();
		}
		AtomicInteger open = new AtomicInteger(arrivals.length);
		AtomicInteger next = new AtomicInteger();
		long start = System.nanoTime();
		this.vertx.setPeriodic(1, (timer) -> {
			while (next.get() < arrivals.length && arrivals[next.get()] <= System.nanoTime() - start) {
				int index = next.getAndIncrement();
				send(index, start + arrivals[index]).onComplete((sent) -> {
					if (open.decrementAndGet() == 0) {
						done.complete();
					}
				});
			}
			if (next.get() >= arrivals.length) {
				this.vertx.cancelTimer(timer);
			}
		});
		return done.future().map((ignored) -> measure(arrivals.length, System.nanoTime() - start));
	}

	private Future<Answer> send(int index, long plannedNanos) {
		record(this.lateness, System.nanoTime() - plannedNanos);
		return this.sender.send(index)
			.onSuccess((answer) -> accept(answer, plannedNanos))
			.onFailure((failure) -> count("client_" + failure.getClass().getSimpleName()));
	}

	private void accept(Answer answer, long plannedNanos) {
		if (!answer.isWhole()) {
			if (answer.isNotRun()) {
				this.refused.incrementAndGet();
			}
			count(answer.errorCode());
			return;
		}
		this.answered.incrementAndGet();
		this.tokens.addAndGet(answer.tokens());
		record(this.firstToken, answer.firstTokenNanos() - plannedNanos);
		record(this.gap, answer.maxGapNanos());
		record(this.whole, answer.endNanos() - plannedNanos);
	}

	private LoadMeasurement measure(int sent, long nanos) {
		double seconds = nanos / 1e9;
		Map<String, Double> figures = new LinkedHashMap<>();
		figures.put("sent", (double) sent);
		figures.put("answered", (double) this.answered.get());
		figures.put("failed", (double) sent - this.answered.get());
		figures.put("refused_not_run", (double) this.refused.get());
		figures.put("answered_per_s", this.answered.get() / seconds);
		figures.put("tokens_per_s", this.tokens.get() / seconds);
		addPercentiles(figures, "first_token", this.firstToken);
		addPercentiles(figures, "longest_gap", this.gap);
		addPercentiles(figures, "whole_answer", this.whole);
		figures.put("generator_lateness_p99_ms", millis(this.lateness, 99));
		synchronized (this.errors) {
			this.errors.forEach((code, count) -> figures.put("error_" + code, (double) count));
		}
		return new LoadMeasurement(this.plan.name(), this.plan.seed(), figures, Map.of("first token",
				LoadMeasurement.curve(this.firstToken), "whole answer", LoadMeasurement.curve(this.whole)));
	}

	private static void addPercentiles(Map<String, Double> figures, String name, Histogram histogram) {
		figures.put(name + "_p50_ms", millis(histogram, 50));
		figures.put(name + "_p95_ms", millis(histogram, 95));
		figures.put(name + "_p99_ms", millis(histogram, 99));
		figures.put(name + "_max_ms", millis(histogram, 100));
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1000.0;
	}

	private static void record(Histogram histogram, long nanos) {
		histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, nanos / NANOS_PER_MICRO)));
	}

	private void count(String code) {
		synchronized (this.errors) {
			this.errors.merge(code, 1, Integer::sum);
		}
	}

}
