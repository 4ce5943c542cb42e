/**
 * Operators' interface of a host: status, configuration, metrics, tracing and the
 * account.
 */
package org.wigeonglade.entry.operator;
