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

	private final int host;

	private final boolean batch;

	private final double arrivedMillis;

	private final Set<RunnerId> declinedBy = new HashSet<>();

	private double remainingMillis;

	private double startedMillis = -1;

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

	double getRemainingMillis() {
		return this.remainingMillis;
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

	void start(double nowMillis) {
		this.startedMillis = nowMillis;
	}

	// Returns the time since the start of the present run, negative while there is none.
	double getElapsedMillis(double nowMillis) {
		return (this.startedMillis >= 0) ? nowMillis - this.startedMillis : -1;
	}

	// Keeps the progress of an item that gives its slot back.
	void stop(double nowMillis) {
		if (this.startedMillis >= 0) {
			this.remainingMillis = Math.max(1, this.remainingMillis - (nowMillis - this.startedMillis));
			this.startedMillis = -1;
		}
	}

}
