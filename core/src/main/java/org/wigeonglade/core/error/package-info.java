/**
 * Exceptions with stable error codes. Every exception of the system extends
 * {@link org.wigeonglade.core.error.WigeongladeException}.
 */
package org.wigeonglade.core.error;
