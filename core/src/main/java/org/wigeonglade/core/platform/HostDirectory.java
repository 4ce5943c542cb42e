package org.wigeonglade.core.platform;

import java.util.List;

import io.smallrye.mutiny.Uni;

/**
 * Host list of the platform: live and leaving machines. The list is eventually consistent
 * and may lag.
 */
public interface HostDirectory {

	/**
	 * Reads the complete list.
	 * @return the listed machines; fails with
	 * {@link org.wigeonglade.core.error.PlatformException}
	 */
	Uni<List<ListedHost>> list();

}
