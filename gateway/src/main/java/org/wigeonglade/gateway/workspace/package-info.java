/**
 * Workspaces of the configuration: authentication of their callers, the lease on the
 * freshness of the configuration, and usage limits over all hosts. Decisions only; no
 * input or output.
 */
package org.wigeonglade.gateway.workspace;
