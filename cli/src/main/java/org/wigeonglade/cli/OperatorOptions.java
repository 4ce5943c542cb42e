package org.wigeonglade.cli;

import java.util.Map;

import io.vertx.core.json.JsonObject;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.ext.web.client.WebClientOptions;
import picocli.CommandLine.Option;

/**
 * Options that name the operators' interface of a host.
 */
final class OperatorOptions {

	@Option(names = "--operator", paramLabel = "URL",
			defaultValue = "${env:WIGEONGLADE_OPERATOR:-http://127.0.0.1:9090}",
			description = "Operators' interface of any host (default: WIGEONGLADE_OPERATOR or http://127.0.0.1:9090).")
	private String url;

	@Option(names = "--tls-certificate", paramLabel = "FILE", description = "Client certificate, PEM.")
	private String certificate;

	@Option(names = "--tls-key", paramLabel = "FILE", description = "Key of the client certificate, PEM.")
	private String key;

	@Option(names = "--tls-trust", paramLabel = "FILE", description = "Certificate of the issuer of the host's, PEM.")
	private String trust;

	HostClient connect() {
		WebClientOptions options = new WebClientOptions();
		if (this.certificate != null && this.key != null) {
			options.setKeyCertOptions(new PemKeyCertOptions().addCertPath(this.certificate).addKeyPath(this.key));
		}
		if (this.trust != null) {
			options.setTrustOptions(new PemTrustOptions().addCertPath(this.trust));
		}
		return new HostClient(this.url, Map.of(), options);
	}

	JsonObject getJson(String path, Map<String, String> query) {
		try (HostClient client = connect()) {
			return client.getJson(path, query);
		}
	}

}
