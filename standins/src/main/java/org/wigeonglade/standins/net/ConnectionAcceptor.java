package org.wigeonglade.standins.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Loopback listener that runs a handler on a virtual thread for each connection.
 * Thread-safe.
 */
public final class ConnectionAcceptor implements AutoCloseable {

	private final ServerSocket listener;

	private final Handler handler;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private ConnectionAcceptor(ServerSocket listener, Handler handler) {
		this.listener = listener;
		this.handler = handler;
	}

	/**
	 * Starts an acceptor on a free port.
	 * @param backlog the number of connections that may wait to be accepted
	 * @param handler serves each connection, not null
	 * @return an acceptor that listens, never null
	 * @throws UncheckedIOException if no port can be opened
	 */
	public static ConnectionAcceptor start(int backlog, Handler handler) {
		try {
			ServerSocket listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
			ConnectionAcceptor acceptor = new ConnectionAcceptor(listener, handler);
			Thread.ofVirtual().start(acceptor::accept);
			return acceptor;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the address.
	 * @return the loopback address and the port, never null
	 */
	public InetSocketAddress getAddress() {
		return (InetSocketAddress) this.listener.getLocalSocketAddress();
	}

	/**
	 * Closes the connections that are open.
	 * @throws UncheckedIOException if one cannot be closed
	 */
	public void closeConnections() {
		try {
			for (Socket connection : this.connections) {
				connection.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Closes the listener. Connections stay open until their handlers return.
	 * @throws UncheckedIOException if it cannot be closed
	 */
	@Override
	public void close() {
		try {
			this.listener.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket connection = this.listener.accept();
				this.connections.add(connection);
				Thread.ofVirtual().start(() -> serve(connection));
			}
			catch (IOException ex) {
				if (!this.listener.isClosed()) {
					throw new IllegalStateException("stand-in failed to accept a connection", ex);
				}
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			connection.setTcpNoDelay(true);
			this.handler.serve(connection);
		}
		catch (IOException ex) {
			// The connection was closed by one of both sides, which ends its handler.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connections.remove(connection);
		}
	}

	/**
	 * Serves connections.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Serves a connection, which is closed afterwards.
		 * @param connection the connection, not null
		 * @throws IOException if the connection is lost
		 * @throws InterruptedException if the thread is interrupted
		 */
		void serve(Socket connection) throws IOException, InterruptedException;

	}

}
