package org.wigeonglade.gateway.workspace;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.id.WorkspaceId;
import org.wigeonglade.gateway.workspace.AccessPolicy.Freshness;

/**
 * Guards against requests that run without a key, with a withdrawn one or on behalf of
 * another workspace, and against denials by an outdated configuration.
 */
public class AccessPolicyTests {

	private static final WorkspaceId BAKERY = WorkspaceId.of("bakery");

	private final WorkspaceTable table = WorkspaceTable.builder()
		.add(workspace("bakery"), List.of("key-1", "key-2"))
		.add(workspace("mill"), List.of("key-3"))
		.add(workspace("keyless"), List.of())
		.build();

	@DataProvider
	Object[][] requests() {
		Access bakery = new Access.Granted(new RequestIdentity.Member(BAKERY));
		Access anonymous = new Access.Granted(new RequestIdentity.Anonymous());
		Access denied = new Access.Denied();
		Access uncertain = new Access.Uncertain();
		return new Object[][] { { false, "key-1", Freshness.RECENT, bakery },
				{ false, "key-2", Freshness.USABLE, bakery }, { false, "key-1", Freshness.EXPIRED, uncertain },
				{ false, "other", Freshness.RECENT, denied }, { false, "other", Freshness.USABLE, uncertain },
				{ false, "other", Freshness.EXPIRED, uncertain }, { false, null, Freshness.EXPIRED, denied },
				{ false, "KEY-1", Freshness.RECENT, denied }, { false, "bakery", Freshness.RECENT, denied },
				{ true, null, Freshness.EXPIRED, anonymous }, { true, "other", Freshness.RECENT, anonymous },
				{ true, "key-1", Freshness.RECENT, bakery }, { true, "key-1", Freshness.EXPIRED, anonymous } };
	}

	@Test(dataProvider = "requests")
	public void keyDecides(boolean keyless, String key, Freshness freshness, Access expected) {
		Assert.assertEquals(AccessPolicy.decide(this.table, keyless, Optional.ofNullable(key), freshness), expected);
	}

	@Test
	public void requestsWithoutKeysRunIfTheConfigurationHasNoWorkspaces() {
		Assert.assertEquals(AccessPolicy.decide(WorkspaceTable.NONE, false, Optional.of("key-1"), Freshness.EXPIRED),
				new Access.Granted(new RequestIdentity.Unmanaged()));
	}

	@Test
	public void requestsAreDeniedIfTheListOfWorkspacesIsEmpty() {
		Assert.assertEquals(
				AccessPolicy.decide(WorkspaceTable.builder().build(), false, Optional.of("key-1"), Freshness.RECENT),
				new Access.Denied());
	}

	@DataProvider
	Object[][] malformedWorkspaces() {
		return new Object[][] { { "bakery", List.of("key-9") }, { "other", List.of("key-1") },
				{ "other", List.of("") } };
	}

	@Test(dataProvider = "malformedWorkspaces", expectedExceptions = InvalidRequestException.class)
	public void ambiguousWorkspacesAreRejected(String name, List<String> keys) {
		WorkspaceTable.builder().add(workspace("bakery"), List.of("key-1")).add(workspace(name), keys);
	}

	@DataProvider
	Object[][] malformedLimits() {
		return new Object[][] { { -1.0, 0.0 }, { 1.0, -0.5 }, { Double.NaN, 1.0 }, { 1.0, Double.POSITIVE_INFINITY },
				{ 1e12, 1.0 } };
	}

	@Test(dataProvider = "malformedLimits", expectedExceptions = InvalidRequestException.class)
	public void impossibleLimitsAreRejected(double rate, double burst) {
		new UsageLimit(rate, burst);
	}

	private static Workspace workspace(String name) {
		return new Workspace(WorkspaceId.of(name), OptionalInt.empty(), UsageLimit.NONE);
	}

}
