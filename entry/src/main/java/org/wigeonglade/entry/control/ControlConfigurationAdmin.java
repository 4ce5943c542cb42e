package org.wigeonglade.entry.control;

import java.util.List;
import java.util.Objects;

import io.smallrye.mutiny.Uni;
import org.wigeonglade.core.config.AcceptedChange;
import org.wigeonglade.entry.operator.ConfigurationAdmin;

/**
 * Gives the operators' interface access to the control runtime.
 */
public final class ControlConfigurationAdmin implements ConfigurationAdmin {

	private final ControlRuntime control;

	private ControlConfigurationAdmin(ControlRuntime control) {
		this.control = control;
	}

	/**
	 * Returns the access to a runtime.
	 * @param control the runtime, not null
	 * @return the access
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
	public Uni<List<AcceptedChange>> history() {
		return Uni.createFrom().item(this.control.getHistory());
	}

}
