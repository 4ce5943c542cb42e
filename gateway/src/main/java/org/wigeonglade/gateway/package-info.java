/**
 * Serves opaque requests and batch jobs of a platform's callers on its runners. The wire
 * formats and the store of the platform come from an adapter.
 */
package org.wigeonglade.gateway;
