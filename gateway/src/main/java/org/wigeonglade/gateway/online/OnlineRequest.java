package org.wigeonglade.gateway.online;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.hash.Hashing;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.Fingerprint;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.core.retry.Quarantine;
import org.wigeonglade.gateway.caller.TokenUsage;
import org.wigeonglade.gateway.fleet.Candidate;
import org.wigeonglade.gateway.fleet.LoadTracker;
import org.wigeonglade.gateway.fleet.Placement;
import org.wigeonglade.gateway.fleet.RequestAdmission;
import org.wigeonglade.gateway.fleet.RequestClass;
import org.wigeonglade.gateway.fleet.RequestConstraints;
import org.wigeonglade.gateway.fleet.RunnerEntry;
import org.wigeonglade.gateway.fleet.RunnerId;
import org.wigeonglade.gateway.http.CallerExchange;
import org.wigeonglade.gateway.http.HopByHopHeaders;
import org.wigeonglade.gateway.log.GatewayEvent;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.route.RouteKind;
import org.wigeonglade.gateway.runner.ConnectionUse;
import org.wigeonglade.gateway.runner.RunnerFailure;
import org.wigeonglade.gateway.runner.RunnerRequest;
import org.wigeonglade.gateway.stream.EventSequence;
import org.wigeonglade.gateway.stream.StreamBinding;
import org.wigeonglade.gateway.stream.StreamOrigin;
import org.wigeonglade.gateway.workspace.RequestIdentity;
import org.wigeonglade.gateway.workspace.Workspace;

/**
 * State machine of one online request, from its arrival to its final response: places the
 * request, starts attempts, retries them, and enforces the deadline. Confined to the
 * event loop.
 */
public final class OnlineRequest implements Attempt.Owner {

	private static final EventLogger LOG = EventLogger.of(OnlineRequest.class);

	/**
	 * A monotonic time before any request; halved so that differences do not overflow.
	 */
	private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

	/**
	 * Time in milliseconds after the first byte of a response from which the request
	 * cannot be what crashed its runner: such a request crashes a runner as soon as it
	 * begins to generate, but events may be in flight by then.
	 */
	private static final long PROGRESS_MILLIS = 300;

	/**
	 * Time in milliseconds after which a reused connection that closes was not idle any
	 * more when the request arrived: longer than a round trip.
	 */
	private static final long STALE_CLOSE_MILLIS = 20;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int GATEWAY_TIMEOUT = 504;

	private final OnlineContext context;

	private final CallerExchange exchange;

	private final CallerResponse response;

	private final Route route;

	private ServiceName service;

	private final String id;

	private final String resumedStream;

	private final long tokens;

	private final HttpHeaders headers;

	private final RequestIdentity identity;

	private final RequestAdmission admission;

	private final RetryPolicy retryPolicy;

	private final Set<RunnerId> triedRunners = new HashSet<>();

	private final long deadlineMillis;

	private final long targetTimeMillis;

	private final List<Fingerprint> suspects = new ArrayList<>();

	private StreamBinding binding = new StreamBinding.Open();

	private Attempt attempt;

	private long lastPreemptionMillis = NEVER_MILLIS;

	private boolean freshConnection;

	private ScheduledFuture<?> deadlineTimer;

	private RunnerEntry lastRunner;

	private AttemptOutcome.RunnerError lastError;

	private OnlineRequest(OnlineContext context, CallerExchange exchange, Route route, RequestIdentity identity,
			long deadlineMillis) {
		this.context = context;
		this.exchange = exchange;
		this.route = route;
		this.identity = identity;
		HttpHeaders received = exchange.getRequest().headers();
		this.id = context.protocol().requestId(received).orElse("");
		this.resumedStream = context.protocol().resumedStream(received).orElse(null);
		Optional<TokenUsage> size = context.protocol().tokenUsage(received);
		this.tokens = size.map(TokenUsage::getTotal).orElse(0L);
		this.service = route.chooseService(this.id);
		this.headers = new DefaultHttpHeaders().set(received);
		HopByHopHeaders.strip(this.headers);
		this.admission = new RequestAdmission(context.overload(), context.policy(), classify(size));
		this.retryPolicy = new RetryPolicy(route);
		this.deadlineMillis = deadlineMillis;
		this.targetTimeMillis = exchange.getArrivedMillis() + route.getLatencyTarget().toMillis();
		this.response = new CallerResponse(exchange, context.ticker(),
				sequenceOf(route, context.protocol().resumeAfter(received)), route.getKind() == RouteKind.STREAM);
		context.protocol().promptParts(received).forEach((part) -> this.suspects.add(Fingerprint.ofPromptPart(part)));
		this.suspects.add(fingerprintOf(exchange));
	}

	// Without workspaces all requests compete, as their routes have one owner.
	private RequestClass classify(Optional<TokenUsage> size) {
		if (this.identity instanceof RequestIdentity.Unmanaged) {
			return RequestClass.DEFAULT;
		}
		Optional<WorkspaceId> workspace = this.identity.workspace();
		OptionalInt priority = workspace.flatMap(this.context.fleet().getRoutingTable().getWorkspaces()::find)
			.map(Workspace::priority)
			.orElse(OptionalInt.empty());
		return RequestClass.of(this.route.getPriority(), workspace, priority, size.map(TokenUsage::getSize));
	}

	private static EventSequence sequenceOf(Route route, OptionalLong resumeAfter) {
		return (route.isResumable() || resumeAfter.isPresent()) ? EventSequence.ofResumable(resumeAfter)
				: EventSequence.ofSingleRun();
	}

	/**
	 * Starts the handling of a request.
	 * @param context the shared collaborators, not null
	 * @param exchange the request and its response, not null
	 * @param route the route of the request, not null
	 * @param identity on whose behalf it is made, not null
	 * @param deadlineMillis the monotonic time in milliseconds by which it must be
	 * answered
	 */
	public static void start(OnlineContext context, CallerExchange exchange, Route route, RequestIdentity identity,
			long deadlineMillis) {
		OnlineRequest request = new OnlineRequest(context, exchange, route, identity, deadlineMillis);
		exchange.onDisconnect(request::callerDisconnected);
		long remaining = request.deadlineMillis - context.ticker().millis();
		request.deadlineTimer = context.loop()
			.schedule(request::deadlineExceeded, Math.max(0, remaining), TimeUnit.MILLISECONDS);
		if (request.route.getKind() == RouteKind.STREAM && request.response.getLastEventId().isPresent()) {
			new StreamOriginFinder(context, route, request.service).find(request.resumedStream, request::resumeFrom);
		}
		else {
			request.startNextAttempt();
		}
	}

	@Override
	public void eventsReceived(Attempt receiving) {
		StreamBinding before = this.binding;
		this.binding = before.afterEventFrom(receiving.getRunner());
		if (before instanceof StreamBinding.Open) {
			this.context.origins().record(this.id, StreamOrigin.of(receiving.getRunner()));
		}
	}

	@Override
	public void attemptEnded(Attempt ended, AttemptOutcome outcome) {
		this.attempt = null;
		switch (outcome) {
			case AttemptOutcome.Completed completed -> handleCompleted(ended, completed);
			case AttemptOutcome.Declined declined -> handleDeclined(ended, declined);
			case AttemptOutcome.RunnerError error -> handleRunnerError(ended, error);
			case AttemptOutcome.Incomplete incomplete -> handleIncomplete(ended, incomplete.failure());
		}
	}

	@Override
	public void reviewWait(Attempt waiting) {
		Candidate runner = this.context.fleet().candidate(waiting.getRunner());
		long now = this.context.ticker().millis();
		int preemptions = this.context.policy()
			.getPreemptionsForWaitingRequest(runner, Duration.ofMillis(now - this.lastPreemptionMillis));
		if (preemptions > 0) {
			this.lastPreemptionMillis = now;
			String preemptedHosts = this.context.preemptor().preempt(runner.entry(), preemptions);
			LOG.log(GatewayEvent.ITEMS_PREEMPTED_FOR_WAIT, this.id, runner.entry().id(), waiting.getElapsedMillis(),
					runner.load().online(), runner.load().batch(), runner.entry().slots(), preemptedHosts);
		}
	}

	// Without another runner to retry on, the attempt waits until the deadline; a request
	// that must not run twice always does. The timeout is then recorded as a failure, so
	// that other requests avoid the runner.
	@Override
	public boolean mayAbandon(Attempt timedOut) {
		boolean retryable = this.route.isRetryable()
				&& this.retryPolicy.getAttempts() + 1 < this.route.getMaxAttempts();
		boolean alternativeExists = retryable && findCandidates().stream()
			.anyMatch((c) -> !c.avoided() && !c.entry().id().equals(timedOut.getRunner().id()));
		if (!alternativeExists) {
			this.context.fleet().recordFailure(timedOut.getRunner(), RunnerFailure.Kind.SILENT.name());
		}
		return alternativeExists;
	}

	private void resumeFrom(Optional<StreamOrigin> origin) {
		if (this.exchange.isEnded()) {
			return;
		}
		this.binding = StreamBinding.ofResumed(origin);
		LOG.log(GatewayEvent.STREAM_RESUMED, this.id, this.resumedStream, lastEventId(),
				origin.map(StreamOrigin::service).orElse(null), origin.map(StreamOrigin::version).orElse(null),
				elapsedMillis());
		origin.map(StreamOrigin::service).filter(this.route::hasService).ifPresent((s) -> this.service = s);
		if (origin.isPresent() && findCandidates().isEmpty()) {
			// Runners of the version may have joined since this host last read.
			Runnable start = this::startUnlessEnded;
			this.context.fleet().refreshRegistrations(start, start);
			return;
		}
		startNextAttempt();
	}

	private void startUnlessEnded() {
		if (!this.exchange.isEnded()) {
			startNextAttempt();
		}
	}

	private List<Candidate> findCandidates() {
		this.binding = this.binding.resolve(this.context.fleet()::findVersion);
		StreamBinding fitting = this.binding;
		return this.context.fleet()
			.candidates(this.service, this.triedRunners)
			.stream()
			.filter((candidate) -> fitting.permits(candidate.entry()))
			.toList();
	}

	private void startNextAttempt() {
		Optional<Quarantine> quarantine = this.context.crashReporter().findQuarantine(this.suspects);
		if (quarantine.isPresent()) {
			LOG.log(GatewayEvent.QUARANTINED, this.id, quarantine.get().fingerprints(), quarantine.get().crashes());
			fail(this.retryPolicy.isNotRun() ? SERVICE_UNAVAILABLE : BAD_GATEWAY, "quarantined", -1);
			return;
		}
		long now = this.context.ticker().millis();
		List<Candidate> candidates = findCandidates();
		RequestConstraints constraints = new RequestConstraints(Duration.ofMillis(this.targetTimeMillis - now),
				Duration.ofMillis(this.deadlineMillis - now), this.retryPolicy.isNotRun()
						&& !this.response.isCommitted() && this.binding instanceof StreamBinding.Open);
		if (candidates.isEmpty() && !(this.binding instanceof StreamBinding.Open)) {
			refuseResumption();
			return;
		}
		List<Candidate> fitting = this.context.fleet().getMemoryPolicy().selectFitting(candidates, this.tokens, false);
		if (fitting.isEmpty() && !candidates.isEmpty()) {
			refuseForMemory(candidates, constraints);
			return;
		}
		switch (this.admission.place(fitting, constraints, now)) {
			case Placement.Send send -> {
				preemptAndLogPlacement(send);
				send(send.runner(), send.expectedWait().toMillis());
			}
			case Placement.Refuse refusal -> refuse(refusal, candidates);
		}
	}

	private void send(RunnerEntry runner, long expectedWaitMillis) {
		this.lastRunner = runner;
		RunnerRequest request = new RunnerRequest(this.id, this.exchange.getRequest().method(),
				this.exchange.getRequest().uri(), this.headers, this.exchange.getBody(), this.deadlineMillis,
				this.response.getLastEventId(),
				(this.route.getKind() == RouteKind.STREAM) ? Optional.of(this.binding) : Optional.empty(), false,
				this.identity, this.freshConnection, this.tokens);
		this.attempt = new Attempt(this.context, this.route, this.response, this, runner, expectedWaitMillis);
		this.attempt.start(request);
	}

	private void refuse(Placement.Refuse refusal, List<Candidate> candidates) {
		if (!this.retryPolicy.isNotRun()) {
			failWithoutRetry("no runner for a further attempt: " + refusal.cause());
			return;
		}
		long now = this.context.ticker().millis();
		long retryMillis = Math.max(0, Math.min(refusal.retryAfter().toMillis(), (this.deadlineMillis - now) / 3));
		logAndRefuse(refusal.cause(), candidates, retryMillis);
	}

	// The memory of runners does not grow, so the caller is not asked to retry if the
	// request exceeds it.
	private void refuseForMemory(List<Candidate> candidates, RequestConstraints constraints) {
		Optional<String> excess = this.context.fleet().getMemoryPolicy().findExcess(this.service, this.tokens);
		if (excess.isPresent() && this.retryPolicy.isNotRun()) {
			logAndRefuse(Placement.Cause.TOO_LARGE, candidates, -1);
		}
		else {
			refuse(this.context.policy().refuseForMemory(constraints), candidates);
		}
	}

	// A version that has left does not return, so the caller is not asked to retry.
	private void refuseResumption() {
		Placement.Cause cause = (this.binding instanceof StreamBinding.Unknown) ? Placement.Cause.UNKNOWN_VERSION
				: Placement.Cause.NO_RUNNER_OF_VERSION;
		if (this.retryPolicy.isNotRun()) {
			logAndRefuse(cause, List.of(), -1);
		}
		else {
			failWithoutRetry("no runner for a further attempt: " + cause);
		}
	}

	private void logAndRefuse(Placement.Cause cause, List<Candidate> candidates, long retryMillis) {
		int occupancy = candidates.stream().mapToInt((c) -> c.load().getTotal()).sum();
		long avoided = candidates.stream().filter(Candidate::avoided).count();
		int slots = candidates.stream().mapToInt((c) -> c.entry().slots()).sum();
		LOG.log(GatewayEvent.REFUSED, this.id, this.route.getName(), cause, SERVICE_UNAVAILABLE, candidates.size(),
				avoided, occupancy, slots, retryMillis, elapsedMillis(), configVersion());
		this.context.metrics().countRequest("refused");
		this.context.metrics().countRejection(cause);
		respond(SERVICE_UNAVAILABLE, retryMillis);
	}

	private void handleCompleted(Attempt ended, AttemptOutcome.Completed outcome) {
		this.context.fleet().recordSuccess(ended.getRunner());
		this.context.crashReporter()
			.reportServed(ended.getRunner(), this.suspects,
					this.context.ticker().wallMillis() - ended.getElapsedMillis());
		this.context.fleet().recordHoldTime(ended.getRunner(), Duration.ofMillis(ended.getHoldMillis()));
		this.context.metrics().countAttempt("ANSWERED");
		this.context.metrics().countRequest("answered");
		this.context.metrics().recordTimeToFirstByte(Math.max(0, this.response.getFirstByteMillis()));
		ConnectionUse use = ended.getConnectionUse();
		LOG.log(GatewayEvent.ANSWERED, this.id, this.route.getName(), runnerName(), outcome.status(),
				this.retryPolicy.getAttempts() + 1, this.response.getFirstByteMillis(), elapsedMillis(), lastEventId(),
				use.connection(), use.exchange(), use.skipped());
		finish();
	}

	private void handleDeclined(Attempt ended, AttemptOutcome.Declined outcome) {
		if (outcome.head().wrongRunner()) {
			this.context.fleet().recordFailure(ended.getRunner(), "WRONG_RUNNER");
		}
		logFailedAttempt(ended, "DECLINED", "status " + outcome.head().status(), true, null);
		this.triedRunners.add(ended.getRunner().id());
		this.retryPolicy.recordNotRun();
		retryOrFail("the runner declined with status " + outcome.head().status());
	}

	private void handleRunnerError(Attempt ended, AttemptOutcome.RunnerError outcome) {
		int status = outcome.head().status();
		boolean unsigned = status / 100 == 2;
		logFailedAttempt(ended, "ANSWER", unsigned ? "success status without signature" : "status " + status, false,
				null);
		this.triedRunners.add(ended.getRunner().id());
		this.retryPolicy.recordRun();
		if (!unsigned) {
			this.lastError = outcome;
		}
		if (status >= 500) {
			this.context.fleet().recordFailure(ended.getRunner(), "STATUS_" + status);
			retryOrFail("the runner responded with status " + status);
		}
		else {
			failWithoutRetry("the runner responded with status " + status);
		}
	}

	private void handleIncomplete(Attempt ended, RunnerFailure failure) {
		RunnerEntry runner = ended.getRunner();
		Long avoided = switch (failure.kind()) {
			case STALE_CONNECTION, DESYNCHRONIZED, NO_CONNECTION, RESTARTED, UNIDENTIFIED -> null;
			case UNREACHABLE, BROKEN, MALFORMED, SILENT ->
				this.context.fleet().recordFailure(runner, failure.kind().name());
		};
		logFailedAttempt(ended, failure.kind().name(), failure.reason(), failure.isNotRun(), avoided);
		if (failure.kind() == RunnerFailure.Kind.STALE_CONNECTION || failure.kind() == RunnerFailure.Kind.RESTARTED) {
			this.freshConnection = true;
		}
		else if (!isLostLink(failure) && failure.kind() != RunnerFailure.Kind.DESYNCHRONIZED) {
			this.triedRunners.add(runner.id());
		}
		if (failure.isNotRun()) {
			this.retryPolicy.recordNotRun();
		}
		else {
			this.retryPolicy.recordRun();
		}
		reportCrash(ended, failure);
		retryOrFail(failure.kind() + ": " + failure.reason());
	}

	// The runner itself may be sound, and another host may reach it.
	private boolean isLostLink(RunnerFailure failure) {
		return this.context.fleet().isCutOff()
				&& (failure.kind() == RunnerFailure.Kind.SILENT || failure.kind() == RunnerFailure.Kind.BROKEN);
	}

	private void reportCrash(Attempt ended, RunnerFailure failure) {
		RunnerEntry runner = ended.getRunner();
		boolean lostInProgress = switch (failure.kind()) {
			case BROKEN -> true;
			case STALE_CONNECTION -> ended.getElapsedMillis() >= STALE_CLOSE_MILLIS;
			case UNREACHABLE, NO_CONNECTION, RESTARTED, UNIDENTIFIED, MALFORMED, DESYNCHRONIZED, SILENT -> false;
		};
		if (lostInProgress) {
			Long sinceFirstByte = sinceFirstByteMillis();
			LOG.log(GatewayEvent.RUNNER_LOST_WITH_REQUEST, this.id, runner.id(), runner.startedMillis(), sinceFirstByte,
					this.suspects);
			this.context.crashReporter()
				.reportCrash(runner, this.suspects, sinceFirstByte != null && sinceFirstByte >= PROGRESS_MILLIS);
		}
		else if (failure.kind() == RunnerFailure.Kind.UNREACHABLE) {
			this.context.crashReporter().reportUnreachable(runner);
		}
	}

	// A non-streaming response that has been started cannot be continued by another
	// runner.
	private void retryOrFail(String reason) {
		boolean canContinue = !this.exchange.isEnded()
				&& (!this.response.isCommitted() || this.route.getKind() == RouteKind.STREAM);
		if (canContinue && this.retryPolicy.mayRetry() && this.context.ticker().millis() < this.deadlineMillis) {
			startNextAttempt();
		}
		else {
			failWithoutRetry(reason);
		}
	}

	private void failWithoutRetry(String reason) {
		if (!this.response.isCommitted() && this.lastError != null) {
			logFailed(this.lastError.head().status(), reason);
			this.context.metrics().countRequest("runner_failure");
			if (this.lastError.body().length > 0) {
				this.response.writeBytes(this.lastError.body(), this.lastError.head(), this.lastError.headers(), null);
			}
			this.response.complete(this.lastError.head(), this.lastError.headers());
			finish();
		}
		else if (this.retryPolicy.isNotRun()) {
			fail(SERVICE_UNAVAILABLE, reason, 0);
		}
		else {
			fail(BAD_GATEWAY, reason, -1);
		}
	}

	private void deadlineExceeded() {
		if (this.exchange.isEnded()) {
			return;
		}
		if (this.attempt != null && this.attempt.isSent()) {
			this.retryPolicy.recordRun();
		}
		fail(this.retryPolicy.isNotRun() ? SERVICE_UNAVAILABLE : GATEWAY_TIMEOUT, "the deadline was exceeded", -1);
	}

	// A response that has been started is aborted by closing the connection, so that the
	// caller does not take it for complete.
	private void fail(int status, String reason, long retryMillis) {
		if (this.response.isCommitted()) {
			logFailed(0, reason);
			this.context.metrics().countRequest("cut");
			this.exchange.abort();
			finish();
		}
		else {
			logFailed(status, reason);
			this.context.metrics().countRequest("failed_" + status);
			respond(status, retryMillis);
		}
	}

	// A request that has not run costs its workspace nothing.
	private void respond(int status, long retryMillis) {
		if (status == SERVICE_UNAVAILABLE) {
			this.identity.workspace().ifPresent(this.context.usage()::giveBack);
		}
		this.exchange.respond(status, this.context.protocol().refusalHeaders(retryMillis), new byte[0]);
		finish();
	}

	private void callerDisconnected() {
		LOG.log(GatewayEvent.CALLER_DISCONNECTED, this.id, this.route.getName(), runnerName(), elapsedMillis(),
				lastEventId());
		this.context.metrics().countRequest("caller_left");
		finish();
	}

	private void finish() {
		this.deadlineTimer.cancel(false);
		if (this.attempt != null) {
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	private void preemptAndLogPlacement(Placement.Send send) {
		RunnerId runner = send.runner().id();
		LoadTracker.Load load = this.context.fleet().getLoadTracker().getLoad(runner);
		long reportAge = this.context.fleet().getLoadTracker().getOldestReportAge(this.context.ticker().millis());
		String preemptedHosts = null;
		if (send.preemptions() > 0) {
			this.lastPreemptionMillis = this.context.ticker().millis();
			preemptedHosts = this.context.preemptor().preempt(send.runner(), send.preemptions());
		}
		LOG.log(GatewayEvent.PLACED, this.id, this.route.getName(), this.service, runner, send.runner().startedMillis(),
				send.runner().version(), this.retryPolicy.getAttempts() + 1, this.resumedStream, lastEventId(),
				load.online(), load.batch(), send.runner().slots(), send.expectedWait().toMillis(), preemptedHosts,
				reportAge, configVersion());
	}

	private void logFailedAttempt(Attempt ended, String kind, String reason, boolean notRun, Long avoided) {
		ConnectionUse use = ended.getConnectionUse();
		LOG.log(GatewayEvent.ATTEMPT_FAILED, this.id, ended.getRunner().id(), this.retryPolicy.getAttempts() + 1, kind,
				reason, ended.getElapsedMillis(), lastEventId(), notRun, avoided, use.connection(), use.exchange(),
				use.skipped());
		this.context.metrics().countAttempt(kind);
	}

	// Status 0 denotes a response that was aborted after it had been started.
	private void logFailed(int status, String reason) {
		LOG.log(GatewayEvent.FAILED, this.id, this.route.getName(), runnerName(), status, reason,
				this.retryPolicy.getAttempts(), elapsedMillis(), lastEventId());
	}

	private long configVersion() {
		return this.context.fleet().getRoutingTable().getVersion();
	}

	private String runnerName() {
		return (this.lastRunner != null) ? this.lastRunner.id().value() : null;
	}

	private long elapsedMillis() {
		return this.context.ticker().millis() - this.exchange.getArrivedMillis();
	}

	private static Fingerprint fingerprintOf(CallerExchange exchange) {
		return Fingerprint.of(Hashing.murmur3_128()
			.newHasher()
			.putString(exchange.getRequest().uri(), StandardCharsets.UTF_8)
			.putBytes(exchange.getBody())
			.hash()
			.toString());
	}

	// Null before the first byte of the response.
	private Long sinceFirstByteMillis() {
		return this.response.isCommitted() ? elapsedMillis() - this.response.getFirstByteMillis() : null;
	}

	private Long lastEventId() {
		OptionalLong last = this.response.getLastEventId();
		return last.isPresent() ? last.getAsLong() : null;
	}

}
