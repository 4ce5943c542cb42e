/**
 * Decisions and values of the serving system, free of sockets and event loops. Adapters,
 * daemons and tools depend on this module; it depends on none of them.
 */
package org.wigeonglade.core;
