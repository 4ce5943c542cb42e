package org.wigeonglade.entry.host;

import java.net.http.HttpResponse;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against responses to callers that differ from the complete response of the
 * runner, and against requests that are accepted in spite of an unknown key or a
 * malformed body.
 */
public class EntryHostTests {

	private static final String BODY = "{\"model\":\"runo-1\",\"prompt\":\"Talvi\",\"max_tokens\":3,\"stream\":%s}";

	@Test
	public void answersCompleteAndStreamedRequests() {
		HostFixture fixture = new HostFixture().withEngine("runner-1", HostFixture::answer);
		EntryHost host = fixture.builder().build();
		host.start();
		try {
			HttpResponse<String> complete = fixture.post(host, "/v1/completions", BODY.formatted("false"));
			Assert.assertEquals(complete.statusCode(), 200, complete.body());
			Assert.assertTrue(complete.body().contains("\"text\":\"t0 t1 t2 \""), complete.body());
			HttpResponse<String> streamed = fixture.post(host, "/v1/completions", BODY.formatted("true"));
			Assert.assertTrue(streamed.body().endsWith("data: [DONE]\n\n"), streamed.body());
			Assert.assertEquals(streamed.body().split("data: \\{").length, 5, streamed.body());
		}
		finally {
			Assert.assertEquals(host.stop(), 0);
		}
	}

	@Test
	public void rejectsUnknownKeysAndMalformedBodies() {
		HostFixture fixture = new HostFixture().withEngine("runner-1", HostFixture::answer);
		EntryHost host = fixture.builder().build();
		host.start();
		try {
			HttpResponse<String> unauthorized = fixture.post(host, "/v1/completions", BODY.formatted("false"),
					"Authorization", "Bearer wrong");
			Assert.assertEquals(unauthorized.statusCode(), 401);
			Assert.assertTrue(unauthorized.body().contains("\"ran\":\"not_run\""), unauthorized.body());
			Assert.assertEquals(fixture.post(host, "/v1/completions", "{").statusCode(), 400);
			Assert.assertEquals(fixture.post(host, "/v1/nothing", "{}").statusCode(), 404);
			String deep = "[".repeat(100) + "]".repeat(100);
			HttpResponse<String> nested = fixture.post(host, "/v1/completions", "{\"model\":" + deep + "}");
			Assert.assertEquals(nested.statusCode(), 413, nested.body());
		}
		finally {
			host.kill();
		}
	}

}
