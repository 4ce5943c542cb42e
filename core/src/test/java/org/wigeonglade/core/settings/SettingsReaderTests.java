package org.wigeonglade.core.settings;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import org.quicktheories.QuickTheory;
import org.quicktheories.generators.SourceDSL;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Guards against settings that are accepted although they violate their schema, against
 * messages that do not name the location of the error, and against input that fails with
 * an exception of another type.
 */
public class SettingsReaderTests {

	private static final long SEED = 20_260_101L;

	private static final String HOST = """
			{"host":"entry-1","failureDomain":"fi-south-a","region":"fi-south","callerAddress":"127.0.0.1:0",
			"operatorAddress":"127.0.0.1:0","peerAddress":"127.0.0.1:0","peerSeeds":["127.0.0.1:7001"],
			"platform":{"logUrl":"http://127.0.0.1:1","hostListUrl":"http://127.0.0.1:2"}}""";

	private static final String FLEET = """
			{"profiles":[{"name":"family","words":"A family waits for it.","priority":"online","idempotent":true},
			{"name":"night","words":"Runs at night.","priority":"batch","idempotent":true}],
			"services":[{"name":"runokieli","kind":"model","profile":"family","batchProfile":"night",
			"models":[{"name":"runokieli","version":"1"}]}],
			"workspaces":[{"name":"muistopuu","keyHashes":["%s"],"services":["runokieli"]}]}"""
		.formatted("a".repeat(64));

	private final SettingsReader reader = SettingsReader.create();

	@Test
	public void absentObjectsGetTheirDefaults() {
		HostSettings settings = this.reader.readHostSettings(bytes(HOST));
		Assert.assertEquals(settings.getLimits().getMaxBodyBytes(), Integer.valueOf(1_048_576));
		Assert.assertEquals(settings.getTiming().getPartitionLeaseMs(), Integer.valueOf(3000));
		Assert.assertEquals(settings.getPlatform().getTimeoutMs(), Integer.valueOf(1000));
		Assert.assertNotNull(settings.getLog().getFormat());
		Assert.assertNotNull(settings.getTracing());
		Assert.assertNull(settings.getTls());
		FleetConfiguration fleet = this.reader.readFleetConfiguration(bytes(FLEET));
		Assert.assertEquals(fleet.getBudgets().getPartitions(), Integer.valueOf(12));
	}

	@DataProvider
	public Object[][] invalidHosts() {
		return new Object[][] { { HOST.replace("\"host\"", "\"hots\""), "/ ", "hots" },
				{ HOST.replace("127.0.0.1:7001", "127.0.0.1:99999"), "/peerSeeds/0", "65535" },
				{ HOST.replace("entry-1", "entry-1\\n"), "/host", "pattern" },
				{ HOST.replace("127.0.0.1:1", "127.0.0.1:1\\n"), "/platform/logUrl", "control" },
				{ HOST.replace("\"http://127.0.0.1:1\"", "17"), "/platform/logUrl", "17" },
				{ HOST.replace("\"region\"", "\"limits\":{\"maxBodyBytes\":5},\"region\""), "/limits/maxBodyBytes",
						"1024" },
				{ HOST.replace("\"region\"", "\"log\":{\"level\":\"LOUD\"},\"region\""), "/log/level", "WARNING" },
				{ HOST.replace("\"region\"", "\"timing\":null,\"region\""), "/timing", "null" },
				{ "[]", "/ ", "object" } };
	}

	@Test(dataProvider = "invalidHosts")
	public void messageNamesPointerAndConstraint(String json, String pointer, String rule) {
		InvalidRequestException ex = Assert.expectThrows(InvalidRequestException.class,
				() -> this.reader.readHostSettings(bytes(json)));
		Assert.assertEquals(ex.getCode(), ErrorCode.SETTINGS_INVALID);
		Assert.assertTrue(ex.getMessage().contains(pointer), ex.getMessage());
		Assert.assertTrue(ex.getMessage().contains(rule), ex.getMessage());
	}

	@DataProvider
	public Object[][] invalidFleets() {
		return new Object[][] {
				{ FLEET.replace("\"profile\":\"family\"", "\"profile\":\"familly\""), "/services/0/profile" },
				{ FLEET.replace("\"batchProfile\":\"night\"", "\"batchProfile\":\"family\""),
						"/services/0/batchProfile" },
				{ FLEET.replace("[\"runokieli\"]", "[]"), "/workspaces/0/services" },
				{ FLEET.replace("[\"runokieli\"]", "[\"other\"]"), "/workspaces/0/services/0" },
				{ FLEET.replace("\"night\",\"words\"", "\"family\",\"words\""), "/profiles/1/name" } };
	}

	@Test(dataProvider = "invalidFleets")
	public void referencesMustExist(String json, String pointer) {
		InvalidRequestException ex = Assert.expectThrows(InvalidRequestException.class,
				() -> this.reader.readFleetConfiguration(bytes(json)));
		Assert.assertEquals(ex.getCode(), ErrorCode.SETTINGS_INVALID);
		Assert.assertTrue(ex.getMessage().contains(pointer), ex.getMessage());
	}

	@DataProvider
	public Object[][] unreadable() {
		return new Object[][] { { bytes("") }, { bytes("{\"host\":1,\"host\":2}") }, { bytes(HOST + "{}") },
				{ bytes("[".repeat(100_000)) }, { new byte[SettingsReader.MAX_BYTES + 1] },
				{ new byte[] { '"', (byte) 0xC3, '"' } }, { null } };
	}

	@Test(dataProvider = "unreadable")
	public void unreadableTextIsReportedAsUnreadable(byte[] json) {
		InvalidRequestException ex = Assert.expectThrows(InvalidRequestException.class,
				() -> this.reader.readHostSettings(json));
		Assert.assertEquals(ex.getCode(), ErrorCode.SETTINGS_UNREADABLE);
	}

	@Test
	public void missingFileIsReportedAsUnreadable() {
		InvalidRequestException ex = Assert.expectThrows(InvalidRequestException.class,
				() -> this.reader.readHostSettings(Path.of("no-such-file.json")));
		Assert.assertEquals(ex.getCode(), ErrorCode.SETTINGS_UNREADABLE);
	}

	@Test
	public void mutatedTextIsRejectedOrValid() throws Exception {
		Schema referenceSchema = schema();
		byte[] original = bytes(FLEET);
		QuickTheory.qt()
			.withFixedSeed(SEED)
			.withExamples(3000)
			.forAll(SourceDSL.integers().between(0, original.length - 1), SourceDSL.integers().between(0, 255),
					SourceDSL.integers().between(0, 3))
			.check((at, value, operator) -> isRejectedOrValid(referenceSchema, mutate(original, at, value, operator)));
	}

	private boolean isRejectedOrValid(Schema referenceSchema, byte[] json) {
		try {
			this.reader.readFleetConfiguration(json);
		}
		catch (InvalidRequestException ex) {
			return ex.getMessage().startsWith("fleet configuration: ");
		}
		try {
			JsonNode tree = new ObjectMapper().readTree(json);
			return referenceSchema.validate(tree).isEmpty();
		}
		catch (Exception ex) {
			return false;
		}
	}

	private static byte[] mutate(byte[] original, int at, int value, int operator) {
		byte[] copy = original.clone();
		switch (operator) {
			case 0 -> copy[at] = (byte) value;
			case 1 -> copy = Arrays.copyOf(copy, at);
			case 2 -> copy = new String(copy, 0, at, StandardCharsets.UTF_8).concat(new String(original,
					Math.max(0, at - value), original.length - Math.max(0, at - value), StandardCharsets.UTF_8))
				.getBytes(StandardCharsets.UTF_8);
			default -> System.arraycopy(copy, at, copy, Math.max(0, at - value), copy.length - at);
		}
		return copy;
	}

	private static Schema schema() throws Exception {
		return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
			.getSchema(SettingsReader.class.getResourceAsStream("/org/wigeonglade/schema/fleet-configuration.json"),
					InputFormat.JSON);
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
