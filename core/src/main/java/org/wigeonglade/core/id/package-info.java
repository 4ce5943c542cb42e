/**
 * Value types that identify hosts, upstreams, workspaces, jobs and positions in the log.
 * Every type checks its argument on construction and is ordered by its text or number.
 */
package org.wigeonglade.core.id;
