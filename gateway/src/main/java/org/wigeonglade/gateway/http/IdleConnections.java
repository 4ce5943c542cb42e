package org.wigeonglade.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The idle connections to one server. The most recently used one is taken first, so that
 * surplus connections reach their idle limit and are closed. Confined to the event loop.
 */
public final class IdleConnections {

	private final Deque<ClientConnection> connections = new ArrayDeque<>();

	/**
	 * Takes the most recently used connection that is reusable. Connections found not to
	 * be reusable are closed.
	 * @param nowMillis the monotonic time in milliseconds
	 * @return the connection, empty if there is none
	 */
	public Optional<ClientConnection> take(long nowMillis) {
		return take(nowMillis, (connection) -> true);
	}

	/**
	 * Takes the most recently used connection that is reusable and suitable. Connections
	 * found not to be reusable are closed.
	 * @param nowMillis the monotonic time in milliseconds
	 * @param suitable tests whether a connection may carry the next request, not null
	 * @return the connection, empty if there is none
	 */
	public Optional<ClientConnection> take(long nowMillis, Predicate<ClientConnection> suitable) {
		Iterator<ClientConnection> remaining = this.connections.iterator();
		while (remaining.hasNext()) {
			ClientConnection connection = remaining.next();
			if (!connection.isReusable(nowMillis)) {
				remaining.remove();
				connection.close();
			}
			else if (suitable.test(connection)) {
				remaining.remove();
				return Optional.of(connection);
			}
		}
		return Optional.empty();
	}

	/**
	 * Keeps a connection after a complete response, or closes it if it is not reusable.
	 * @param connection the connection, not null
	 * @param nowMillis the monotonic time in milliseconds
	 * @param limitMillis how long it may stay idle, in milliseconds
	 */
	public void keep(ClientConnection connection, long nowMillis, long limitMillis) {
		connection.markIdle(nowMillis, limitMillis);
		if (connection.isReusable(nowMillis)) {
			this.connections.push(connection);
		}
		else {
			connection.close();
		}
	}

	/**
	 * Closes the connections that are no longer reusable.
	 * @param nowMillis the monotonic time in milliseconds
	 */
	public void closeExpired(long nowMillis) {
		this.connections.removeIf((connection) -> {
			boolean expired = !connection.isReusable(nowMillis);
			if (expired) {
				connection.close();
			}
			return expired;
		});
	}

	/**
	 * Closes all connections.
	 */
	public void closeAll() {
		this.connections.forEach(ClientConnection::close);
		this.connections.clear();
	}

	/**
	 * Returns whether there is no idle connection.
	 * @return true if there is none
	 */
	public boolean isEmpty() {
		return this.connections.isEmpty();
	}

}
