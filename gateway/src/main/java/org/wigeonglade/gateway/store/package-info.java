/**
 * The port to the platform's store and the followers of its streams. The adapter that
 * speaks to a store implements {@link org.wigeonglade.gateway.store.KeyedLog}.
 */
package org.wigeonglade.gateway.store;
