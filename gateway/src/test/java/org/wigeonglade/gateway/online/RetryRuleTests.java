package org.wigeonglade.gateway.online;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.ServiceName;
import org.wigeonglade.gateway.route.Route;
import org.wigeonglade.gateway.route.RouteKind;
import org.wigeonglade.gateway.route.ServiceShare;

/**
 * Guards against a request that must not be repeated and runs twice, and against more
 * runs than the route allows.
 */
public class RetryRuleTests {

	@Test
	public void runOnceRequestIsNotSentAgainAfterItMayHaveRun() {
		RetryRule rule = new RetryRule(route(RouteKind.RUN_ONCE, 3, false));
		Assert.assertTrue(rule.mayTryAgain());
		rule.recordNotRun();
		Assert.assertTrue(rule.mayTryAgain() && rule.isNotRun());
		rule.recordRun();
		Assert.assertFalse(rule.mayTryAgain() || rule.isNotRun());
	}

	@Test
	public void streamThatCannotBeResumedCountsAsRunOnce() {
		RetryRule rule = new RetryRule(route(RouteKind.STREAM, 3, false));
		rule.recordRun();
		Assert.assertFalse(rule.mayTryAgain());
	}

	@Test
	public void repeatableRequestStopsAtItsAttempts() {
		RetryRule rule = new RetryRule(route(RouteKind.STREAM, 2, true));
		rule.recordRun();
		Assert.assertTrue(rule.mayTryAgain());
		rule.recordRun();
		Assert.assertFalse(rule.mayTryAgain());
	}

	@Test
	public void refusalsOfRunnersAreBoundedToo() {
		RetryRule rule = new RetryRule(route(RouteKind.SAFE, 2, false));
		for (int i = 0; i < RetryRule.MAX_NOT_RUN; i++) {
			Assert.assertTrue(rule.mayTryAgain());
			rule.recordNotRun();
		}
		Assert.assertFalse(rule.mayTryAgain());
		Assert.assertTrue(rule.isNotRun());
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
