/**
 * Domain logic and value types of the serving system, without sockets or event loops.
 * Adapters, daemons and tools depend on this module; it depends on none of them.
 */
package org.wigeonglade.core;
