/**
 * Client-side access to the keyed streams of the platform's store: the interface
 * {@link org.wigeonglade.gateway.store.KeyedLog}, which an adapter to a concrete store
 * implements, a follower that reads a stream, and a writer that appends to it.
 */
package org.wigeonglade.gateway.store;
