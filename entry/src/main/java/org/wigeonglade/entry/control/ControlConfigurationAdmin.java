package org.wigeonglade.entry.control;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.config.AcceptedChange;
import org.wigeonglade.entry.operator.ConfigurationAdmin;
import org.wigeonglade.schema.generated.log.ConfigChange;

/**
 * {@link ConfigurationAdmin} of the operator interface, backed by the control runtime.
 */
public final class ControlConfigurationAdmin implements ConfigurationAdmin {

	/** Limits the log reads of one call; older changes are returned without body. */
	private static final int MAX_BODIES = 20;

	private final ControlRuntime control;

	private ControlConfigurationAdmin(ControlRuntime control) {
		this.control = control;
	}

	/**
	 * Creates an adapter for a control runtime.
	 * @param control the runtime, not null
	 * @return the adapter
	 */
	public static ControlConfigurationAdmin of(ControlRuntime control) {
		return new ControlConfigurationAdmin(Objects.requireNonNull(control, "control"));
	}

	@Override
	public Uni<Long> publish(long baseVersion, byte[] body, String author, String reason) {
		return this.control.publish(new ConfigurationDraft(baseVersion, author, reason, body, 0))
			.map(AcceptedChange::version);
	}

	@Override
	public Uni<List<ConfigChange>> history() {
		List<AcceptedChange> accepted = this.control.getHistory();
		if (accepted.isEmpty()) {
			return Uni.createFrom().item(List.of());
		}
		int firstWithBody = Math.max(0, accepted.size() - MAX_BODIES);
		List<Uni<ConfigChange>> changes = IntStream.range(0, accepted.size())
			.mapToObj((i) -> toChange(accepted.get(i), i >= firstWithBody))
			.toList();
		return Uni.join().all(changes).andFailFast();
	}

	private Uni<ConfigChange> toChange(AcceptedChange accepted, boolean withBody) {
		ConfigChange change = ConfigChange.newBuilder()
			.setVersion(accepted.version())
			.setBaseVersion(accepted.version() - 1)
			.setAuthor(accepted.author())
			.setReason(accepted.reason())
			.setWallTimeMs(accepted.wallTimeMillis())
			.setRollbackOf(accepted.rollbackOf())
			.build();
		if (!withBody) {
			return Uni.createFrom().item(change);
		}
		return this.control.readBody(accepted.version())
			.map((body) -> change.toBuilder().setBody(ByteString.copyFrom(body)).build())
			.onFailure()
			.recoverWithItem(change);
	}

}
