package org.wigeonglade.core.member;

/**
 * Gives the current snapshot of the fleet.
 */
@FunctionalInterface
public interface FleetViewSource {

	/**
	 * Returns the current snapshot without blocking.
	 * @return the snapshot, never null
	 */
	FleetView current();

}
