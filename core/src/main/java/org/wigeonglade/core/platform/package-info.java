/**
 * Interfaces to the platform: log service and host list. The implementations are in the
 * adapters module.
 */
package org.wigeonglade.core.platform;
