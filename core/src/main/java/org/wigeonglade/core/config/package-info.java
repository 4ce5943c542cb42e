/**
 * Published configuration: validation beyond the schema, and replay of the accepted
 * versions from the stream of changes.
 */
package org.wigeonglade.core.config;
