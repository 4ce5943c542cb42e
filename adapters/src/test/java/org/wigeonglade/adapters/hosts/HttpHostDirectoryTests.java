package org.wigeonglade.adapters.hosts;

import java.time.Duration;
import java.util.List;

import io.vertx.core.http.HttpServer;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.adapters.AdapterFixture;
import org.wigeonglade.core.error.PlatformException;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.standins.CallFault;
import org.wigeonglade.standins.StandInServer;
import org.wigeonglade.standins.hosts.HostListStandIn;

/**
 * Guards against a damaged or missing host list that is read as an empty one.
 */
public class HttpHostDirectoryTests {

	private AdapterFixture fixture;

	@BeforeClass
	void open() {
		this.fixture = new AdapterFixture();
	}

	@AfterClass
	void close() {
		this.fixture.close();
	}

	@Test
	void readsEntriesAndTheLeavingState() {
		HostListStandIn list = HostListStandIn.start(this.fixture.vertx(), 0);
		ListedHost host = new ListedHost("runner-1", HostRole.RUNNER, "127.0.0.1:9", "fi-south-a", "fi-south",
				"runokieli", List.of("m"), 3, false);
		list.put(host);
		HttpHostDirectory directory = directory(list.url());
		Assert.assertEquals(AdapterFixture.await(directory.list()), List.of(host));
		list.markLeaving("runner-1");
		Assert.assertTrue(AdapterFixture.await(directory.list()).get(0).leaving());
		list.outage(CallFault.REFUSED_BEFORE);
		AdapterFixture.expectFailure(PlatformException.class, directory.list());
		list.stop();
	}

	@DataProvider
	Object[][] malformed() {
		return new Object[][] { { "" }, { "[]" }, { "{}" }, { "{\"hosts\":[{}]}" }, { "{\"hosts\":[1]}" },
				{ "{\"hosts\":[{\"name\":\"a\",\"role\":\"other\"}]}" } };
	}

	@Test(dataProvider = "malformed")
	void rejectsAMalformedListAsAWhole(String body) {
		HttpServer server = StandInServer.await(this.fixture.vertx()
			.createHttpServer()
			.requestHandler((request) -> request.response().end(body))
			.listen(0, "127.0.0.1"));
		AdapterFixture.expectFailure(PlatformException.class,
				directory("http://127.0.0.1:" + server.actualPort()).list());
		StandInServer.await(server.close());
	}

	private HttpHostDirectory directory(String url) {
		return HttpHostDirectory.of(this.fixture.vertx(), this.fixture.client(), url, Duration.ofSeconds(5));
	}

}
