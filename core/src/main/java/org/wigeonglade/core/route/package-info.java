/**
 * Choice of an upstream: subsets, load, concurrency limits, prefix affinity and circuit
 * breakers.
 */
package org.wigeonglade.core.route;
