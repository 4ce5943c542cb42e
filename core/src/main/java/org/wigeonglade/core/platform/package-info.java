/**
 * Ports to the platform: log service and host list. Implementations live in the adapters
 * module.
 */
package org.wigeonglade.core.platform;
