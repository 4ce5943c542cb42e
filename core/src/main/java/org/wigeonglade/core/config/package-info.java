/**
 * Published configuration: versions, profiles, services and workspaces, and the reading
 * of settings files against their schema.
 */
package org.wigeonglade.core.config;
