package org.wigeonglade.peer;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import io.smallrye.mutiny.Uni;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.core.error.PeerException;
import org.wigeonglade.core.id.HostId;
import org.wigeonglade.schema.generated.peer.LinkPurpose;
import org.wigeonglade.schema.generated.peer.PeerFrame;
import org.wigeonglade.schema.generated.settings.TlsSettings;

/**
 * Guards against messages from or to a host without a valid certificate, and against
 * renewed certificates that take effect only after a restart.
 */
public class PeerTlsTests {

	private static final HostId B = HostId.of("b");

	private final CertificateBuilder template = new CertificateBuilder().algorithm(CertificateBuilder.Algorithm.ecp256);

	private Path folder;

	private X509Bundle authority;

	private NettyPeerTransport b;

	@BeforeMethod
	void open() throws Exception {
		this.folder = Files.createTempDirectory("peer-tls");
		this.authority = newAuthority();
		this.b = PeerFixture.open("b", PeerOptions.defaults(), writeCertificate("b", this.authority, "b"));
		this.b.handle(PeerFrame.BodyCase.CONFIG_FETCH,
				(from, frame) -> Uni.createFrom().item(PeerFixture.configAnswer()));
	}

	@AfterMethod(alwaysRun = true)
	void close() throws Exception {
		this.b.close();
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.folder);
	}

	@Test
	void trustedCertificateIsAccepted() throws Exception {
		Assert.assertTrue(canReach(writeCertificate("a", this.authority, "a")));
	}

	@Test
	void certificateOfAnotherAuthorityIsRejected() throws Exception {
		TlsSettings foreign = writeCertificate("a", newAuthority(), "a");
		Files.writeString(Path.of(foreign.getTrustPath()), this.authority.getCertificatePEM());
		Assert.assertFalse(canReach(foreign));
	}

	@Test
	void certificateOfAnotherHostIsRejected() throws Exception {
		Assert.assertFalse(canReach(writeCertificate("a", this.authority, "c")));
	}

	@Test
	void connectionWithoutTlsIsRejected() {
		Assert.assertFalse(canReach(null));
	}

	@Test
	void renewedCertificateIsUsedWithoutARestart() throws Exception {
		X509Bundle renewed = newAuthority();
		TlsSettings client = writeCertificate("a", renewed, "a");
		Assert.assertFalse(canReach(client));
		writeCertificate("b", renewed, "b");
		PeerFixture.waitFor(() -> canReach(client));
	}

	@Test(expectedExceptions = InvalidRequestException.class)
	void missingCertificateFileIsReportedAtStartup() {
		PeerFixture.open("a", PeerOptions.defaults(),
				new TlsSettings().withCertificatePath("absent").withKeyPath("absent").withTrustPath("absent"));
	}

	private boolean canReach(TlsSettings tls) {
		try (NettyPeerTransport a = PeerFixture.open("a", PeerOptions.defaults(), tls)) {
			a.setPeerAddress(B, this.b.getAddress());
			return a.request(B, LinkPurpose.CONTROL, PeerFixture.configFetch(1), Duration.ofSeconds(5))
				.await()
				.atMost(PeerFixture.TIMEOUT)
				.hasConfigAnswer();
		}
		catch (PeerException ex) {
			return false;
		}
	}

	private X509Bundle newAuthority() throws Exception {
		return this.template.copy().subject("CN=authority").setIsCertificateAuthority(true).buildSelfSigned();
	}

	private TlsSettings writeCertificate(String file, X509Bundle issuer, String name) throws Exception {
		X509Bundle bundle = this.template.copy().subject("CN=" + name).buildIssuedBy(issuer);
		Path certificate = this.folder.resolve(file + ".crt");
		Path key = this.folder.resolve(file + ".key");
		Path trust = this.folder.resolve(file + ".ca");
		Files.writeString(certificate, bundle.getCertificatePEM());
		Files.writeString(key, bundle.getPrivateKeyPEM());
		Files.writeString(trust, issuer.getCertificatePEM());
		return new TlsSettings().withCertificatePath(certificate.toString())
			.withKeyPath(key.toString())
			.withTrustPath(trust.toString())
			.withReloadMs(100);
	}

}
