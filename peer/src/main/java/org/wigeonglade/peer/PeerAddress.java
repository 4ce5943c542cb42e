package org.wigeonglade.peer;

import java.net.InetSocketAddress;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;

/**
 * Reads addresses of the form {@code ip:port}. Names are refused, because looking them up
 * would block and depend on another system.
 */
final class PeerAddress {

	private PeerAddress() {
	}

	static InetSocketAddress parse(String text) {
		try {
			HostAndPort parsed = HostAndPort.fromString(text);
			return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
		}
		catch (IllegalArgumentException | IllegalStateException ex) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"a peer address must be an IP number and a port such as 10.0.0.1:7300 but is '" + text + "'", ex);
		}
	}

	static String format(InetSocketAddress address) {
		return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort()).toString();
	}

}
