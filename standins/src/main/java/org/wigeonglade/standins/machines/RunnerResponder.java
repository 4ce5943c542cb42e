package org.wigeonglade.standins.machines;

import java.io.IOException;
import java.net.Socket;

import org.wigeonglade.standins.net.ReceivedRequest;

/**
 * Answers the requests that a {@link RestartingRunnerStandIn} runs. Called by the threads
 * of its connections.
 */
public interface RunnerResponder {

	/**
	 * Is called with each request on a connection before it is answered, also with those
	 * that do not run.
	 * @param request the request, not null
	 * @param socket the connection, not null
	 * @throws IOException if the connection fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	void received(ReceivedRequest request, Socket socket) throws IOException, InterruptedException;

	/**
	 * Answers a request.
	 * @param request the request, not null
	 * @param version the version of the runner's software, not null
	 * @param socket the connection, not null
	 * @return whether the connection may carry another request
	 * @throws IOException if the connection fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean respond(ReceivedRequest request, String version, Socket socket) throws IOException, InterruptedException;

}
