package org.wigeonglade.bench.model;

import java.util.HashSet;
import java.util.Set;

import org.wigeonglade.gateway.fleet.RequestAdmission;
import org.wigeonglade.gateway.fleet.RequestClass;
import org.wigeonglade.gateway.fleet.RunnerId;

/**
 * A modelled stream or batch item.
 */
final class ModelWork {

	/** Work that takes less is a response that is not a stream. */
	private static final double LONGEST_RESPONSE_MILLIS = 100;

	private final int host;

	private final boolean batch;

	private final double arrivedMillis;

	private final Set<RunnerId> declinedBy = new HashSet<>();

	private double remainingMillis;

	private double progressMillis;

	private double speed = 1;

	private double episodeFromMillis = Double.MAX_VALUE;

	private int step;

	private double uncountedMillis;

	private final boolean response;

	private double startedMillis;

	private double visitedMillis;

	private double preemptedMillis = -1e9;

	private boolean secondVisit;

	private RequestClass requestClass = RequestClass.DEFAULT;

	// Null for items.
	private RequestAdmission admission;

	ModelWork(int host, boolean batch, double arrivedMillis, double holdMillis) {
		this.host = host;
		this.batch = batch;
		this.arrivedMillis = arrivedMillis;
		this.visitedMillis = arrivedMillis;
		this.remainingMillis = holdMillis;
		this.response = holdMillis < LONGEST_RESPONSE_MILLIS;
	}

	RequestClass getRequestClass() {
		return this.requestClass;
	}

	RequestAdmission getAdmission() {
		return this.admission;
	}

	void classify(RequestClass value, RequestAdmission requestAdmission) {
		this.requestClass = value;
		this.admission = requestAdmission;
	}

	int getHost() {
		return this.host;
	}

	boolean isBatch() {
		return this.batch;
	}

	double getArrivedMillis() {
		return this.arrivedMillis;
	}

	Set<RunnerId> getDeclinedBy() {
		return this.declinedBy;
	}

	double getPreemptedMillis() {
		return this.preemptedMillis;
	}

	// Items were asked to give way for this stream.
	void preempted(double nowMillis) {
		this.preemptedMillis = nowMillis;
	}

	double getVisitedMillis() {
		return this.visitedMillis;
	}

	boolean isSecondVisit() {
		return this.secondVisit;
	}

	// The caller returns after a refusal.
	void comeBack(double nowMillis) {
		this.secondVisit = true;
		this.visitedMillis = nowMillis;
		this.declinedBy.clear();
	}

	// Starts a run. A slow episode begins at the given time, if any.
	void start(double nowMillis, double episodeFrom) {
		this.startedMillis = nowMillis;
		this.progressMillis = nowMillis;
		this.episodeFromMillis = episodeFrom;
		this.step++;
	}

	double getEpisodeFromMillis() {
		return this.episodeFromMillis;
	}

	// Counts the work done since the last call and sets the speed from now on. Returns
	// the
	// work done, in the time that a runner of mean speed takes for it.
	double proceed(double nowMillis, double nextSpeed) {
		double done = this.speed * (nowMillis - this.progressMillis);
		this.remainingMillis = Math.max(0, this.remainingMillis - done);
		this.progressMillis = nowMillis;
		this.speed = nextSpeed;
		this.step++;
		return done;
	}

	double getProgressMillis() {
		return this.progressMillis;
	}

	// Returns the time to the end at the present speed.
	double getTimeLeft() {
		return this.remainingMillis / this.speed;
	}

	// Returns a number that changes with each call of proceed, start or stop.
	int getStep() {
		return this.step;
	}

	boolean isResponse() {
		return this.response;
	}

	double getStartedMillis() {
		return this.startedMillis;
	}

	int takeEvents(double doneMillis, double eventMillis) {
		this.uncountedMillis += doneMillis;
		int events = (int) (this.uncountedMillis / eventMillis);
		this.uncountedMillis -= events * eventMillis;
		return events;
	}

	// Keeps the progress of an item that gives its slot back.
	void stop() {
		this.remainingMillis = Math.max(1, this.remainingMillis);
		this.step++;
	}

}
