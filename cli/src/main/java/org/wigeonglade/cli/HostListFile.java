package org.wigeonglade.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.platform.HostRole;
import org.wigeonglade.core.platform.ListedHost;
import org.wigeonglade.standins.hosts.HostListStandIn;

/**
 * Feeds a host list stand-in from a file in the format of its answers.
 */
final class HostListFile {

	/** A person who edits the file sees the effect within this time. */
	private static final long POLL_MILLIS = 500;

	private HostListFile() {
	}

	static void follow(Path file, long lagMillis, HostListStandIn list) {
		List<ListedHost> first = read(file);
		first.forEach(list::putNow);
		Thread.ofPlatform().daemon().name("host-list-file").start(() -> poll(file, lagMillis, list, first));
	}

	private static void poll(Path file, long lagMillis, HostListStandIn list, List<ListedHost> first) {
		List<ListedHost> last = first;
		try {
			while (true) {
				Thread.sleep(POLL_MILLIS);
				List<ListedHost> next = readOr(file, last);
				if (!next.equals(last)) {
					Thread.sleep(lagMillis);
					list.replaceAll(next);
					last = next;
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// An editor may leave a half-written file for a moment; the old list stays meanwhile.
	private static List<ListedHost> readOr(Path file, List<ListedHost> otherwise) {
		try {
			return read(file);
		}
		catch (InvalidRequestException ex) {
			return otherwise;
		}
	}

	static List<ListedHost> read(Path file) {
		try {
			JsonArray entries = new JsonObject(Files.readString(file)).getJsonArray("hosts", new JsonArray());
			List<ListedHost> hosts = new ArrayList<>();
			for (int i = 0; i < entries.size(); i++) {
				hosts.add(toHost(entries.getJsonObject(i)));
			}
			return hosts;
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, file + ": the file cannot be read", ex);
		}
		catch (DecodeException | ClassCastException | IllegalArgumentException | NullPointerException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_INVALID,
					file + ": not a host list as in examples/hosts.json: " + ex.getMessage(), ex);
		}
	}

	private static ListedHost toHost(JsonObject entry) {
		List<String> models = entry.getJsonArray("models", new JsonArray()).stream().map(String::valueOf).toList();
		return new ListedHost(entry.getString("name"),
				HostRole.valueOf(entry.getString("role").toUpperCase(Locale.ROOT)), entry.getString("address"),
				entry.getString("failure_domain"), entry.getString("region"), entry.getString("service", ""), models,
				entry.getLong("incarnation", 1L), entry.getBoolean("leaving", false));
	}

}
