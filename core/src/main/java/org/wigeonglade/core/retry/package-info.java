/**
 * Retries: budgets, suspects and quarantine. Everything here is a pure function of its
 * arguments.
 */
package org.wigeonglade.core.retry;
