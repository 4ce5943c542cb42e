/**
 * Authentication of workspaces by API keys, common to both kinds of hosts.
 */
package org.wigeonglade.core.workspace;
