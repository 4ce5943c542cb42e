/**
 * Clients of the platform and the upstreams; the only code that knows their wire formats.
 */
package org.wigeonglade.adapters;
