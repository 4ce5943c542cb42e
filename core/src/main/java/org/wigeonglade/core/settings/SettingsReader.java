package org.wigeonglade.core.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SchemaRegistryConfig;
import com.networknt.schema.SpecificationVersion;
import org.wigeonglade.core.config.ConfigurationChecks;
import org.wigeonglade.core.config.ConfigurationViolation;
import org.wigeonglade.core.error.ErrorCode;
import org.wigeonglade.core.error.InvalidRequestException;
import org.wigeonglade.schema.generated.settings.FleetConfiguration;
import org.wigeonglade.schema.generated.settings.HostSettings;

/**
 * Parser of settings and configuration files. A file is accepted only as a whole: it must
 * be a single JSON text without duplicate keys, valid against its JSON Schema, and
 * consistent in itself. Immutable and thread-safe.
 */
public final class SettingsReader {

	/**
	 * Maximum size of a file in bytes. A configuration of 2,700 workspaces takes about
	 * 0.5 MB.
	 */
	public static final int MAX_BYTES = 8 * 1024 * 1024;

	/** Maximum nesting depth of objects and arrays; the schemas need 6. */
	public static final int MAX_DEPTH = 16;

	/** Number of violations listed in a message; the others are only counted. */
	private static final int MAX_LISTED_VIOLATIONS = 5;

	private static final String SCHEMA_FOLDER = "/org/wigeonglade/schema/";

	private final ObjectMapper mapper;

	private final ObjectReader treeReader;

	private final Schema hostSchema;

	private final Schema fleetSchema;

	private SettingsReader() {
		JsonFactory factory = JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder()
				.maxNestingDepth(MAX_DEPTH)
				.maxDocumentLength(MAX_BYTES)
				.maxNumberLength(100)
				.build())
			.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
			.disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
			.build();
		this.mapper = new ObjectMapper(factory);
		this.treeReader = this.mapper.reader()
			.with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
			.with(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS);
		SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12,
				(builder) -> builder
					.schemaRegistryConfig(SchemaRegistryConfig.builder().locale(Locale.ENGLISH).build()));
		this.hostSchema = loadSchema(registry, "host-settings.json");
		this.fleetSchema = loadSchema(registry, "fleet-configuration.json");
	}

	/**
	 * Returns a reader.
	 * @return a reader with the schemas loaded, never null
	 */
	public static SettingsReader create() {
		return new SettingsReader();
	}

	/**
	 * Reads the settings file of a host.
	 * @param file the file, not null
	 * @return the settings with all defaults, never null
	 * @throws InvalidRequestException if the file cannot be read or is not valid
	 */
	public HostSettings readHostSettings(Path file) {
		return readHostSettings(readFile(file), file.toString());
	}

	/**
	 * Reads the settings of a host.
	 * @param json the JSON text, not null
	 * @return the settings with all defaults, never null
	 * @throws InvalidRequestException if the text is not valid
	 */
	public HostSettings readHostSettings(byte[] json) {
		return readHostSettings(json, "host settings");
	}

	/**
	 * Reads a fleet configuration file.
	 * @param file the file, not null
	 * @return the configuration with all defaults, never null
	 * @throws InvalidRequestException if the file cannot be read or is not valid
	 */
	public FleetConfiguration readFleetConfiguration(Path file) {
		return readFleetConfiguration(readFile(file), file.toString());
	}

	/**
	 * Reads a fleet configuration.
	 * @param json the JSON text, not null
	 * @return the configuration with all defaults, never null
	 * @throws InvalidRequestException if the text is not valid
	 */
	public FleetConfiguration readFleetConfiguration(byte[] json) {
		return readFleetConfiguration(json, "fleet configuration");
	}

	/**
	 * Writes a settings or configuration object as indented JSON.
	 * @param value the object, not null
	 * @return the JSON text in UTF-8
	 */
	public byte[] write(Object value) {
		try {
			return this.mapper.writerWithDefaultPrettyPrinter()
				.writeValueAsBytes(Objects.requireNonNull(value, "value"));
		}
		catch (JsonProcessingException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_INVALID, "the value cannot be written as JSON", ex);
		}
	}

	private HostSettings readHostSettings(byte[] json, String source) {
		JsonNode tree = parse(json, source);
		validate(this.hostSchema, tree, source);
		return SettingsDefaults.applyDefaults(bind(tree, HostSettings.class, source));
	}

	private FleetConfiguration readFleetConfiguration(byte[] json, String source) {
		JsonNode tree = parse(json, source);
		validate(this.fleetSchema, tree, source);
		FleetConfiguration body = SettingsDefaults.applyDefaults(bind(tree, FleetConfiguration.class, source));
		throwIfAny(source, ConfigurationChecks.check(body).stream().map(ConfigurationViolation::toString).toList());
		return body;
	}

	private static byte[] readFile(Path file) {
		try (InputStream in = Files.newInputStream(file)) {
			byte[] bytes = in.readNBytes(MAX_BYTES + 1);
			if (bytes.length > MAX_BYTES) {
				throw tooLarge(file.toString());
			}
			return bytes;
		}
		catch (NoSuchFileException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, file + ": the file does not exist", ex);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
					file + ": the file cannot be read: " + ex.getMessage(), ex);
		}
	}

	private JsonNode parse(byte[] json, String source) {
		if (json == null) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, source + ": no content was given");
		}
		if (json.length > MAX_BYTES) {
			throw tooLarge(source);
		}
		JsonNode tree;
		try {
			tree = this.treeReader.readTree(json);
		}
		catch (JsonProcessingException ex) {
			String location = (ex.getLocation() != null)
					? " at line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr() : "";
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
					source + ": not a single valid JSON text" + location + " (maximum nesting depth " + MAX_DEPTH
							+ ", no duplicate keys): " + ex.getOriginalMessage(),
					ex);
		}
		catch (IOException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
					source + ": not a JSON text in UTF-8: " + ex.getMessage(), ex);
		}
		if (tree == null || tree.isMissingNode()) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE, source + ": the content is empty");
		}
		return tree;
	}

	private static InvalidRequestException tooLarge(String source) {
		return new InvalidRequestException(ErrorCode.SETTINGS_UNREADABLE,
				source + ": larger than the limit of " + MAX_BYTES + " bytes");
	}

	private void validate(Schema schema, JsonNode tree, String source) {
		List<Error> errors = schema.validate(tree);
		throwIfAny(source, (!errors.isEmpty()) ? errors.stream().map(SettingsReader::describe).toList()
				: SettingsRules.check(tree));
	}

	private static void throwIfAny(String source, List<String> violations) {
		if (violations.isEmpty()) {
			return;
		}
		StringBuilder message = new StringBuilder(source).append(": ")
			.append(String.join("; ", violations.subList(0, Math.min(MAX_LISTED_VIOLATIONS, violations.size()))));
		if (violations.size() > MAX_LISTED_VIOLATIONS) {
			message.append("; and ").append(violations.size() - MAX_LISTED_VIOLATIONS).append(" more");
		}
		throw new InvalidRequestException(ErrorCode.SETTINGS_INVALID, message.toString());
	}

	private static String describe(Error error) {
		String pointer = error.getInstanceLocation().toString();
		return SettingsRules.describeViolation(pointer, error.getInstanceNode(), error.getMessage());
	}

	private <T> T bind(JsonNode tree, Class<T> type, String source) {
		try {
			return this.mapper.treeToValue(tree, type);
		}
		catch (JsonProcessingException ex) {
			throw new InvalidRequestException(ErrorCode.SETTINGS_INVALID, source + ": " + ex.getOriginalMessage(), ex);
		}
	}

	private static Schema loadSchema(SchemaRegistry registry, String name) {
		try (InputStream in = SettingsReader.class.getResourceAsStream(SCHEMA_FOLDER + name)) {
			return registry.getSchema(in, InputFormat.JSON);
		}
		catch (IOException ex) {
			throw new IllegalStateException("the schema " + name + " is missing from the build", ex);
		}
	}

}
