/**
 * Ports to upstreams: model engines and plain services. Implementations live in the
 * adapters module.
 */
package org.wigeonglade.core.engine;
