package org.wigeonglade.core.member;

/**
 * Gives the current snapshot of the load that other hosts told.
 */
@FunctionalInterface
public interface FleetLoadSource {

	/**
	 * Returns the current snapshot without blocking.
	 * @return the snapshot, never null
	 */
	FleetLoad currentLoad();

}
