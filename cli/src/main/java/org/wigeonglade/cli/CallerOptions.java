package org.wigeonglade.cli;

import java.util.HashMap;
import java.util.Map;

import io.vertx.ext.web.client.WebClientOptions;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import picocli.CommandLine.Option;

/**
 * Options that name the callers' interface and the key of a workspace.
 */
final class CallerOptions {

	@Option(names = "--url", paramLabel = "URL", defaultValue = "${env:WIGEONGLADE_URL:-http://127.0.0.1:8080}",
			description = "Callers' interface (default: WIGEONGLADE_URL or http://127.0.0.1:8080).")
	private String url;

	@Option(names = "--key", paramLabel = "KEY", defaultValue = "${env:WIGEONGLADE_API_KEY}",
			description = "API key of the workspace (default: WIGEONGLADE_API_KEY, which other users cannot see).")
	private String key;

	HostClient connect(Map<String, String> headers) {
		if (this.key == null || this.key.isBlank()) {
			throw new InvalidRequestException(ErrorCode.ARGUMENT_INVALID,
					"no API key: set WIGEONGLADE_API_KEY or give --key");
		}
		Map<String, String> all = new HashMap<>(headers);
		all.put("Authorization", "Bearer " + this.key);
		return new HostClient(this.url, all, new WebClientOptions());
	}

}
