/**
 * Client interfaces for upstreams: model engines and plain services. The adapters module
 * implements them.
 */
package org.wigeonglade.core.engine;
