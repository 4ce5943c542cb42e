package org.wigeonglade.gateway.online;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.route.RouteKind;
import org.wigeonglade.gateway.route.ServiceShare;

/**
 * Guards against retries that run a non-retryable request twice or exceed the attempts
 * that the route allows.
 */
public class RetryPolicyTests {

	@Test
	public void runOnceRequestIsNotRetriedAfterItMayHaveRun() {
		RetryPolicy policy = new RetryPolicy(route(RouteKind.RUN_ONCE, 3, false));
		Assert.assertTrue(policy.mayRetry());
		policy.recordNotRun();
		Assert.assertTrue(policy.mayRetry() && policy.isNotRun());
		policy.recordRun();
		Assert.assertFalse(policy.mayRetry() || policy.isNotRun());
	}

	@Test
	public void nonResumableStreamIsNotRetriedAfterItMayHaveRun() {
		RetryPolicy policy = new RetryPolicy(route(RouteKind.STREAM, 3, false));
		policy.recordRun();
		Assert.assertFalse(policy.mayRetry());
	}

	@Test
	public void retryableRequestStopsAtMaxAttempts() {
		RetryPolicy policy = new RetryPolicy(route(RouteKind.STREAM, 2, true));
		policy.recordRun();
		Assert.assertTrue(policy.mayRetry());
		policy.recordRun();
		Assert.assertFalse(policy.mayRetry());
	}

	@Test
	public void attemptsThatDidNotRunAreBounded() {
		RetryPolicy policy = new RetryPolicy(route(RouteKind.SAFE, 2, false));
		for (int i = 0; i < RetryPolicy.MAX_NOT_RUN_ATTEMPTS; i++) {
			Assert.assertTrue(policy.mayRetry());
			policy.recordNotRun();
		}
		Assert.assertFalse(policy.mayRetry());
		Assert.assertTrue(policy.isNotRun());
	}

	private static Route route(RouteKind kind, int maxAttempts, boolean resumable) {
		return Route.builder("r")
			.kind(kind)
			.maxAttempts(maxAttempts)
			.resumable(resumable)
			.shares(List.of(new ServiceShare(ServiceName.of("s"), 1)))
			.build();
	}

}
