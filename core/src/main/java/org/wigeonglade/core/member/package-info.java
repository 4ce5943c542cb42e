/**
 * Membership: which hosts and upstreams exist, which are leaving, and what is known of
 * their load. All views are immutable snapshots.
 */
package org.wigeonglade.core.member;
