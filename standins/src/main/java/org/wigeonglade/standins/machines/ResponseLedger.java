package org.wigeonglade.standins.machines;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What runners have answered to each request, for a comparison with what callers receive.
 * Thread-safe.
 */
public final class ResponseLedger {

	private final Map<String, Run> runs = new ConcurrentHashMap<>();

	private final Map<String, List<Run>> runsOfRequests = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> faults = new ConcurrentHashMap<>();

	/**
	 * Records a run before its answer is written.
	 * @param run the run, not null
	 */
	void add(Run run) {
		this.runs.put(run.signature, run);
		this.runsOfRequests.computeIfAbsent(run.requestId, (id) -> new CopyOnWriteArrayList<>()).add(run);
	}

	void countFault(String fault) {
		this.faults.computeIfAbsent(fault, (name) -> new AtomicInteger()).incrementAndGet();
	}

	/**
	 * Returns the run that made a signature.
	 * @param signature the value of {@code Response-Signature}, not null
	 * @return the run, empty if no runner has made the signature
	 */
	public Optional<Run> find(String signature) {
		return Optional.ofNullable(this.runs.get(signature));
	}

	/**
	 * Returns the runs of a request.
	 * @param requestId its id, not null
	 * @return the runs in chronological order
	 */
	public List<Run> getRuns(String requestId) {
		return this.runsOfRequests.getOrDefault(requestId, List.of());
	}

	/**
	 * Returns the number of runs.
	 * @return the number of all requests
	 */
	public int countRuns() {
		return this.runs.size();
	}

	/**
	 * Returns how often runners have answered otherwise than they should.
	 * @return the numbers by kind
	 */
	public Map<String, AtomicInteger> getFaults() {
		return Map.copyOf(this.faults);
	}

	/**
	 * One run of a request.
	 *
	 * @param signature the value of {@code Response-Signature}, which no other run has
	 * @param requestId the id of the request
	 * @param status the status that the runner answered
	 * @param body the whole body of the answer
	 * @param connection what was written to the connection
	 */
	public record Run(String signature, String requestId, int status, byte[] body, RunnerConnectionTrace connection) {

	}

}
