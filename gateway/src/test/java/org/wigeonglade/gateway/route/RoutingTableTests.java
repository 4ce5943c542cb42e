package org.wigeonglade.gateway.route;

import java.util.List;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.id.ServiceName;

/**
 * Guards against requests that are routed to the wrong service.
 */
public class RoutingTableTests {

	private final RoutingTable table = RoutingTable.of(1,
			List.of(route("short", "/a/", 1, 0), route("long", "/a/b/", 1, 0), route("other", "/c/", 1, 0)), List.of(),
			CallerLimits.DEFAULTS);

	@Test(dataProvider = "paths")
	public void longestMatchingPrefixIsSelected(String host, String path, String expected) {
		Assert.assertEquals(this.table.find(host, path).map(Route::getName).orElse(null), expected);
	}

	@DataProvider
	public Object[][] paths() {
		return new Object[][] { { "example", "/a/x", "short" }, { "EXAMPLE:80", "/a/b/x", "long" },
				{ "example", "/a/b", "short" }, { "example", "/a", null }, { "elsewhere", "/a/x", null },
				{ null, "/a/x", null } };
	}

	@Test
	public void requestsAreSplitByWeightAndKeepTheirService() {
		Route split = route("split", "/", 90, 10);
		long second = IntStream.range(0, 2_000)
			.filter((i) -> split.chooseService("request-" + i).equals(ServiceName.of("second")))
			.count();
		Assert.assertTrue(second > 100 && second < 300, second + " of 2000");
		Assert.assertEquals(split.chooseService("request-1"), split.chooseService("request-1"));
	}

	private static Route route(String name, String prefix, int first, int second) {
		return Route.builder(name)
			.hostName("example")
			.pathPrefix(prefix)
			.shares(List.of(new ServiceShare(ServiceName.of("first"), first),
					new ServiceShare(ServiceName.of("second"), second)))
			.build();
	}

}
