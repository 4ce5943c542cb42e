package org.wigeonglade.adapters.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.adapters.AdapterFixture;
import org.wigeonglade.adapters.service.HttpServiceClient;
import org.wigeonglade.core.engine.ServiceCall;
import org.wigeonglade.core.engine.ServiceReply;
import org.wigeonglade.core.error.ExecutionState;
import org.wigeonglade.core.error.UpstreamException;
import org.wigeonglade.standins.net.ConnectionAcceptor;

/**
 * Guards against a response that counts as complete because its connection ended, and
 * against responses that HTTP does not have.
 */
public class EarlyResponseTests {

	private static final int LARGE_BYTES = 3_000_000;

	private static final String BODY = "value";

	private AdapterFixture fixture;

	@BeforeClass
	void open() {
		this.fixture = new AdapterFixture();
	}

	@AfterClass
	void close() {
		this.fixture.close();
	}

	@DataProvider
	Object[][] endings() {
		return Stream
			.of("HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n",
					"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
					"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue")
			.flatMap((head) -> Stream.of(Ending.values())
				.flatMap((ending) -> Stream.of(0, 200, LARGE_BYTES)
					.map((bytes) -> new Object[] { head + (head.endsWith(BODY) ? "" : "\r\n" + BODY), ending, bytes })))
			.toArray(Object[][]::new);
	}

	@Test(dataProvider = "endings")
	void endOfTheConnectionIsTheEndOfTheBody(String response, Ending ending, int bytes) {
		Assert.assertThrows(UpstreamException.class, () -> call(response, ending, bytes));
	}

	@DataProvider
	Object[][] malformed() {
		String sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue";
		return new Object[][] { { sound.replace("200", "600") }, { sound.replace("200", "999") },
				{ "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound },
				{ "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(17) + sound } };
	}

	@Test(dataProvider = "malformed")
	void malformedResponseIsAReply(String response) {
		UpstreamException failure = Assert.expectThrows(UpstreamException.class,
				() -> call(response, Ending.SHUTDOWN, 0));
		Assert.assertEquals(failure.getExecutionState(), ExecutionState.UNKNOWN);
	}

	@Test
	void interimResponsesAreSkipped() {
		ServiceReply reply = call(
				"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(16) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue",
				Ending.SHUTDOWN, 0);
		Assert.assertEquals(new String(reply.body(), StandardCharsets.US_ASCII), BODY);
	}

	private ServiceReply call(String response, Ending ending, int bytes) {
		try (ConnectionAcceptor acceptor = ConnectionAcceptor.start(5, (caller) -> respond(caller, response, ending))) {
			return AdapterFixture.await(HttpServiceClient
				.of(this.fixture.vertx(), this.fixture.client(), "127.0.0.1:" + acceptor.getAddress().getPort())
				.call(new ServiceCall("POST", "/cards", Map.of(), new byte[bytes], Duration.ofSeconds(3))));
		}
	}

	// Reads the first byte of the request only.
	private static void respond(Socket caller, String response, Ending ending)
			throws IOException, InterruptedException {
		caller.getInputStream().read();
		caller.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
		switch (ending) {
			case RESET -> caller.setSoLinger(true, 0);
			case SHUTDOWN -> {
				caller.shutdownOutput();
				caller.getInputStream().skip(Long.MAX_VALUE);
			}
			case SHUTDOWN_THEN_RESET -> {
				caller.shutdownOutput();
				TimeUnit.MILLISECONDS.sleep(3);
				caller.setSoLinger(true, 0);
			}
		}
	}

	/**
	 * How the server ends the connection.
	 */
	enum Ending {

		RESET, SHUTDOWN, SHUTDOWN_THEN_RESET

	}

}
