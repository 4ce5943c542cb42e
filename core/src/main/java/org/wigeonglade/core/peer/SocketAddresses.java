package org.wigeonglade.core.peer;

import java.net.InetSocketAddress;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Parser and formatter of socket addresses in the form {@code ip:port}. Host names are
 * rejected, because resolving them would block and depend on another system.
 */
public final class SocketAddresses {

	private SocketAddresses() {
	}

	/**
	 * Parses an address.
	 * @param text the address, not null
	 * @param description the name of the value in error messages, such as
	 * {@code a peer address}
	 * @return the address, never null
	 * @throws InvalidRequestException if the text is not an IP address with a port
	 */
	public static InetSocketAddress parse(String text, String description) {
		try {
			HostAndPort parsed = HostAndPort.fromString(text);
			return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
		}
		catch (IllegalArgumentException | IllegalStateException ex) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					description + " must be an IP address and a port such as 10.0.0.1:7300 but is '" + text + "'", ex);
		}
	}

	/**
	 * Formats an address.
	 * @param address the address, not null
	 * @return the text that {@link #parse} reads, never null
	 */
	public static String format(InetSocketAddress address) {
		return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort()).toString();
	}

}
