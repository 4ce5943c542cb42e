/**
 * Membership of hosts and upstreams, failure detection, and the load that hosts report in
 * digests. All views are immutable snapshots.
 */
package org.wigeonglade.core.member;
