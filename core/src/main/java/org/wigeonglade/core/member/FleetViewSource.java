package org.wigeonglade.core.member;

/**
 * Supplier of the current {@link FleetView}.
 */
@FunctionalInterface
public interface FleetViewSource {

	/**
	 * Returns the current snapshot without blocking.
	 * @return the snapshot, never null
	 */
	FleetView current();

}
