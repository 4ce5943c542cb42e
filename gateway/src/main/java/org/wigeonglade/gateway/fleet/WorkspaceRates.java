package org.wigeonglade.gateway.fleet;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * The recent use of each workspace, from which fair shares are computed. Times are
 * monotonic milliseconds. Rates count requests that were sent to runners and were not
 * given back; they are those of the hosts that report them, so that a rate times
 * {@link #WINDOW_SECONDS} is the number of requests that the rate rests on.
 */
public interface WorkspaceRates {

	/**
	 * Time constant of the rates: long enough to hold a few requests of a workspace, and
	 * short enough to show a workspace that exceeds its share within a step of the load.
	 */
	double WINDOW_SECONDS = 2;

	/**
	 * Requests added to the use and to the share of a workspace before they are compared,
	 * so that the chance arrivals of a small workspace do not decide.
	 */
	double PRIOR_REQUESTS = 5;

	/**
	 * Returns the recent rate of a workspace.
	 * @param workspace the workspace, not null
	 * @param nowMillis the time
	 * @return requests per second, 0 if there were none
	 */
	double getRate(WorkspaceId workspace, long nowMillis);

	/**
	 * Returns the recent rate of all workspaces.
	 * @param nowMillis the time
	 * @return requests per second
	 */
	double getTotalRate(long nowMillis);

	/**
	 * Returns the share of the capacity that a workspace is entitled to among the active
	 * ones.
	 * @param workspace the workspace, not null
	 * @param nowMillis the time
	 * @return the share, from 0 to 1
	 */
	double getEntitledShare(WorkspaceId workspace, long nowMillis);

	/**
	 * Returns the recent use of the workspaces that are not above their entitled shares,
	 * all together, relative to these shares: below 1 if another workspace sends more
	 * than its share.
	 * @param nowMillis the time
	 * @return the use, 1 without recent requests
	 */
	double getTypicalUse(long nowMillis);

	/**
	 * Returns the number of workspaces with recent requests.
	 * @return the number, at least 0
	 */
	int getActiveWorkspaces();

	/**
	 * Records requests that a host has sent to runners.
	 * @param workspace the workspace, not null
	 * @param requests the number, negative for requests that were given back
	 * @param nowMillis the time
	 */
	void record(WorkspaceId workspace, double requests, long nowMillis);

}
