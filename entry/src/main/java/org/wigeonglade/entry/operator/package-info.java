/**
 * Operator interface of a host: status, configuration, metrics, tracing, and the account,
 * which explains recorded events in plain sentences.
 */
package org.wigeonglade.entry.operator;
