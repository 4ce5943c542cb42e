/**
 * Clients of the platform and the upstreams. No other code depends on their wire formats.
 */
package org.wigeonglade.adapters;
