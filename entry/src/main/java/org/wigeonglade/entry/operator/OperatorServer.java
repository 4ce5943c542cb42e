package org.wigeonglade.entry.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;
import io.vertx.ext.web.Router;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.settings.SettingsReader;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.settings.TlsSettings;

/**
 * HTTP server of the operator interface of one host. Listens on its own port, with mutual
 * TLS if the settings configure it.
 */
public final class OperatorServer {

	private static final EventLogger LOGGER = EventLogger.of(OperatorServer.class);

	private static final int MAX_HEADER_BYTES = 16_384;

	private static final int IDLE_TIMEOUT_S = 60;

	private final Vertx vertx;

	private final OperatorContext context;

	private final Router router;

	private HttpServer server;

	private long reloadTimer = -1;

	private OperatorServer(Vertx vertx, OperatorContext context) {
		this.vertx = vertx;
		this.context = context;
		HostStatus status = new HostStatus(context);
		AccountCollector collector = new AccountCollector(context, status);
		context.peers().handle(PeerFrame.BodyCase.QUERY, collector::handleQuery);
		this.router = new OperatorRoutes(context, status, collector, SettingsReader.create()).build(vertx);
	}

	/**
	 * Creates a server and registers the handler for queries from other hosts. The server
	 * does not listen before {@link #start()}.
	 * @param vertx the Vert.x instance, not null
	 * @param context the components of the host, not null
	 * @return a server, never null
	 */
	public static OperatorServer create(Vertx vertx, OperatorContext context) {
		return new OperatorServer(Objects.requireNonNull(vertx, "vertx"), Objects.requireNonNull(context, "context"));
	}

	/**
	 * Starts to listen on the operator address of the settings.
	 * @return the actual port; fails if the address is in use or a certificate cannot be
	 * read
	 */
	public Uni<Integer> start() {
		String address = this.context.settings().getOperatorAddress();
		int colon = address.lastIndexOf(':');
		HttpServerOptions options = new HttpServerOptions().setHost(address.substring(0, colon))
			.setPort(Integer.parseInt(address.substring(colon + 1)))
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setIdleTimeout(IDLE_TIMEOUT_S);
		TlsSettings tls = this.context.settings().getTls();
		if (tls != null) {
			options.setSsl(true)
				.setClientAuth(ClientAuth.REQUIRED)
				.setKeyCertOptions(certificateOptions(tls))
				.setTrustOptions(trustOptions(tls));
		}
		this.server = this.vertx.createHttpServer(options).requestHandler(this.router);
		return Uni.createFrom()
			.completionStage(() -> this.server.listen().toCompletionStage())
			.onItem()
			.transform((listening) -> {
				LOGGER.log(OperatorEvent.LISTENING, address.substring(0, colon) + ":" + listening.actualPort(),
						tls != null);
				if (tls != null) {
					this.reloadTimer = this.vertx.setPeriodic(tls.getReloadMs(), (timer) -> reloadCertificates(tls));
				}
				return listening.actualPort();
			});
	}

	/**
	 * Stops listening and closes all connections.
	 * @return completes when the server is closed; at once if it was not started
	 */
	public Uni<Void> stop() {
		if (this.server == null) {
			return Uni.createFrom().voidItem();
		}
		if (this.reloadTimer >= 0) {
			this.vertx.cancelTimer(this.reloadTimer);
		}
		return Uni.createFrom().completionStage(() -> this.server.close().toCompletionStage());
	}

	// The files are read on a worker thread because a slow file system must not block the
	// event loop.
	private void reloadCertificates(TlsSettings tls) {
		this.vertx
			.executeBlocking(
					() -> List.of(read(tls.getCertificatePath()), read(tls.getKeyPath()), read(tls.getTrustPath())))
			.compose((files) -> this.server.updateSSLOptions(new ServerSSLOptions().setClientAuth(ClientAuth.REQUIRED)
				.setKeyCertOptions(new PemKeyCertOptions().addCertValue(files.get(0)).addKeyValue(files.get(1)))
				.setTrustOptions(new PemTrustOptions().addCertValue(files.get(2)))))
			.onSuccess((changed) -> LOGGER.log(OperatorEvent.CERTIFICATE_RELOADED, changed))
			.onFailure((failure) -> LOGGER.log(OperatorEvent.CERTIFICATE_FAILED, failure, tls.getCertificatePath()));
	}

	private static Buffer read(String path) throws IOException {
		return Buffer.buffer(Files.readAllBytes(Path.of(path)));
	}

	private static PemKeyCertOptions certificateOptions(TlsSettings tls) {
		return new PemKeyCertOptions().addCertPath(tls.getCertificatePath()).addKeyPath(tls.getKeyPath());
	}

	private static PemTrustOptions trustOptions(TlsSettings tls) {
		return new PemTrustOptions().addCertPath(tls.getTrustPath());
	}

}
