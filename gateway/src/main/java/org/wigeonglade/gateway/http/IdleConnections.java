package org.wigeonglade.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Idle connections to one server. The newest one is used first, so that those in excess
 * pass their idle limit. Confined to the event loop.
 */
public final class IdleConnections {

	private final Deque<ClientConnection> kept = new ArrayDeque<>();

	/**
	 * Takes a connection that can carry a request, and closes those that no longer can.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the connection, empty if there is none
	 */
	public Optional<ClientConnection> take(long nowMillis) {
		while (!this.kept.isEmpty()) {
			ClientConnection connection = this.kept.pop();
			if (connection.isReusable(nowMillis)) {
				return Optional.of(connection);
			}
			connection.close();
		}
		return Optional.empty();
	}

	/**
	 * Keeps a connection whose answer is complete, or closes it if it cannot carry
	 * another request.
	 * @param connection the connection, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @param limitMillis how long it may stay idle, in milliseconds
	 */
	public void keep(ClientConnection connection, long nowMillis, long limitMillis) {
		connection.idle(nowMillis, limitMillis);
		if (connection.isReusable(nowMillis)) {
			this.kept.push(connection);
		}
		else {
			connection.close();
		}
	}

	/**
	 * Closes the connections that can no longer carry a request.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void trim(long nowMillis) {
		this.kept.removeIf((connection) -> {
			boolean useless = !connection.isReusable(nowMillis);
			if (useless) {
				connection.close();
			}
			return useless;
		});
	}

	/**
	 * Closes all connections.
	 */
	public void closeAll() {
		this.kept.forEach(ClientConnection::close);
		this.kept.clear();
	}

	/**
	 * Returns whether no connection is kept.
	 * @return true if there is none
	 */
	public boolean isEmpty() {
		return this.kept.isEmpty();
	}

}
