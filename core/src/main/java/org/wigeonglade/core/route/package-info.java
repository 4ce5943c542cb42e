/**
 * Load balancing over upstreams: subsetting, concurrency limits, prefix affinity and
 * circuit breakers.
 */
package org.wigeonglade.core.route;
