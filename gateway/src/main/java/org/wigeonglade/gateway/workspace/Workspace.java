package org.wigeonglade.gateway.workspace;

import java.util.OptionalInt;

import org.wigeonglade.core.id.WorkspaceId;

/**
 * A workspace of the configuration. Immutable.
 *
 * @param id its name, not null
 * @param priority the priority of its requests, which takes precedence over that of the
 * route; 0 is the highest; empty if the route decides
 * @param limit the requests that it may make over all hosts, not null
 */
public record Workspace(WorkspaceId id, OptionalInt priority, UsageLimit limit) {

}
