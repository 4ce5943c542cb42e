package org.wigeonglade.core.member;

/**
 * Supplier of the current {@link FleetLoad}.
 */
@FunctionalInterface
public interface FleetLoadSource {

	/**
	 * Returns the current snapshot without blocking.
	 * @return the snapshot, never null
	 */
	FleetLoad currentLoad();

}
