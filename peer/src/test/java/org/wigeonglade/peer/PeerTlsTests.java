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
 * Guards against a host with a wrong certificate that reads or sends messages, and
 * against renewed certificates that need a restart.
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
		this.b = PeerFixture.open("b", PeerOptions.defaults(), write("b", this.authority, "b"));
		this.b.handle(PeerFrame.BodyCase.CONFIG_FETCH, (from, frame) -> Uni.createFrom().item(PeerFixture.answer()));
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
	void trustedHostIsAnswered() throws Exception {
		Assert.assertTrue(reaches(write("a", this.authority, "a")));
	}

	@Test
	void hostOfAnotherAuthorityIsRefused() throws Exception {
		TlsSettings foreign = write("a", newAuthority(), "a");
		Files.writeString(Path.of(foreign.getTrustPath()), this.authority.getCertificatePEM());
		Assert.assertFalse(reaches(foreign));
	}

	@Test
	void hostWithTheNameOfAnotherIsRefused() throws Exception {
		Assert.assertFalse(reaches(write("a", this.authority, "c")));
	}

	@Test
	void hostWithoutTlsIsRefused() {
		Assert.assertFalse(reaches(null));
	}

	@Test
	void renewedCertificateIsUsedWithoutARestart() throws Exception {
		X509Bundle next = newAuthority();
		TlsSettings mine = write("a", next, "a");
		Assert.assertFalse(reaches(mine));
		write("b", next, "b");
		PeerFixture.waitFor(() -> reaches(mine));
	}

	@Test(expectedExceptions = InvalidRequestException.class)
	void missingFileIsReportedAtTheStart() {
		PeerFixture.open("a", PeerOptions.defaults(),
				new TlsSettings().withCertificatePath("absent").withKeyPath("absent").withTrustPath("absent"));
	}

	private boolean reaches(TlsSettings tls) {
		try (NettyPeerTransport a = PeerFixture.open("a", PeerOptions.defaults(), tls)) {
			a.setPeerAddress(B, this.b.getAddress());
			return a.request(B, LinkPurpose.CONTROL, PeerFixture.fetch(1), Duration.ofSeconds(5))
				.await()
				.atMost(PeerFixture.WAIT)
				.hasConfigAnswer();
		}
		catch (PeerException ex) {
			return false;
		}
	}

	private X509Bundle newAuthority() throws Exception {
		return this.template.copy().subject("CN=authority").setIsCertificateAuthority(true).buildSelfSigned();
	}

	private TlsSettings write(String file, X509Bundle issuer, String name) throws Exception {
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
