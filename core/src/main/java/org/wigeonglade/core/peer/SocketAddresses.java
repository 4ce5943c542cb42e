package org.wigeonglade.core.peer;

import java.net.InetSocketAddress;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Reads and writes addresses of the form {@code ip:port}. Names are refused, because
 * looking them up would block and depend on another system.
 */
public final class SocketAddresses {

	private SocketAddresses() {
	}

	/**
	 * Reads an address.
	 * @param text the address, not null
	 * @param what names it in the error message, such as {@code a peer address}
	 * @return the address, never null
	 * @throws InvalidRequestException if the text is no IP number with a port
	 */
	public static InetSocketAddress parse(String text, String what) {
		try {
			HostAndPort parsed = HostAndPort.fromString(text);
			return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
		}
		catch (IllegalArgumentException | IllegalStateException ex) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					what + " must be an IP number and a port such as 10.0.0.1:7300 but is '" + text + "'", ex);
		}
	}

	/**
	 * Writes an address.
	 * @param address the address, not null
	 * @return the text that {@link #parse} reads, never null
	 */
	public static String format(InetSocketAddress address) {
		return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort()).toString();
	}

}
