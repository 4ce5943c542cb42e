package org.wigeonglade.peer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.Certificate;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.util.concurrent.ScheduledFuture;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.event.EventLogger;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.settings.TlsSettings;

/**
 * TLS contexts of a transport, reloaded when the certificate files change. Open
 * connections keep the certificate of their handshake. Thread-safe.
 */
final class PeerTls {

	private static final EventLogger logger = EventLogger.of(PeerTls.class);

	/** Type of a DNS name among the subject alternative names (RFC 5280). */
	private static final int DNS_NAME = 2;

	private static final Pattern COMMON_NAME = Pattern.compile("(?:^|,)CN=([^,+]+)");

	private final TlsSettings settings;

	private volatile Contexts contexts;

	private volatile ScheduledFuture<?> timer;

	private PeerTls(TlsSettings settings) {
		this.settings = settings;
	}

	static PeerTls load(TlsSettings settings) {
		PeerTls tls = new PeerTls(settings);
		try {
			tls.contexts = tls.read(tls.digest());
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
					"cannot use the certificate files of the settings: " + ex.getMessage(), ex);
		}
		return tls;
	}

	SslContext getServer() {
		return this.contexts.server;
	}

	SslContext getClient() {
		return this.contexts.client;
	}

	void startReloading(EventLoopGroup group) {
		long millis = this.settings.getReloadMs();
		// File access may block and must not run on an event loop.
		this.timer = group.next()
			.scheduleWithFixedDelay(() -> Thread.ofVirtual().start(this::reload), millis, millis,
					TimeUnit.MILLISECONDS);
	}

	void stop() {
		ScheduledFuture<?> current = this.timer;
		if (current != null) {
			current.cancel(false);
		}
	}

	/**
	 * Reloads the files if their content has changed. Partially replaced files fail to
	 * load and are retried after the next interval.
	 */
	synchronized void reload() {
		try {
			HashCode digest = digest();
			if (!digest.equals(this.contexts.digest)) {
				this.contexts = read(digest);
				logger.log(PeerEvent.TLS_RELOADED, this.settings.getCertificatePath());
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			logger.log(PeerEvent.TLS_RELOAD_FAILED, ex, this.settings.getCertificatePath());
		}
	}

	// Whether the host is the common name or a DNS name of the certificate of the peer.
	static boolean isIssuedTo(SSLSession session, HostId host) {
		try {
			Certificate[] chain = session.getPeerCertificates();
			return chain[0] instanceof X509Certificate certificate
					&& getSubjectNames(certificate).contains(host.value());
		}
		catch (SSLPeerUnverifiedException | CertificateParsingException ex) {
			return false;
		}
	}

	private static List<String> getSubjectNames(X509Certificate certificate) throws CertificateParsingException {
		List<String> names = new ArrayList<>();
		Matcher matcher = COMMON_NAME.matcher(certificate.getSubjectX500Principal().getName());
		while (matcher.find()) {
			names.add(matcher.group(1));
		}
		if (certificate.getSubjectAlternativeNames() != null) {
			for (List<?> name : certificate.getSubjectAlternativeNames()) {
				if (Integer.valueOf(DNS_NAME).equals(name.get(0))) {
					names.add((String) name.get(1));
				}
			}
		}
		return names;
	}

	private Contexts read(HashCode digest) throws IOException {
		Path certificate = Path.of(this.settings.getCertificatePath());
		Path key = Path.of(this.settings.getKeyPath());
		Path trust = Path.of(this.settings.getTrustPath());
		SslContext server = SslContextBuilder.forServer(certificate.toFile(), key.toFile())
			.trustManager(trust.toFile())
			.clientAuth(ClientAuth.REQUIRE)
			.protocols("TLSv1.3")
			.build();
		// Peers are addressed by IP, so the host name is verified after the handshake.
		SslContext client = SslContextBuilder.forClient()
			.keyManager(certificate.toFile(), key.toFile())
			.trustManager(trust.toFile())
			.endpointIdentificationAlgorithm(null)
			.protocols("TLSv1.3")
			.build();
		return new Contexts(server, client, digest);
	}

	private HashCode digest() throws IOException {
		Hasher hasher = Hashing.sha256().newHasher();
		for (String path : List.of(this.settings.getCertificatePath(), this.settings.getKeyPath(),
				this.settings.getTrustPath())) {
			byte[] content = Files.readAllBytes(Path.of(path));
			hasher.putInt(content.length).putBytes(content);
		}
		return hasher.hash();
	}

	private record Contexts(SslContext server, SslContext client, HashCode digest) {

	}

}
