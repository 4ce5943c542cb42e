/**
 * Membership and failure detection of the other hosts, and the datagrams in which hosts
 * exchange their state.
 */
package org.wigeonglade.gateway.peer;
