/**
 * Sources of time, injected into every decision that depends on it.
 */
package org.wigeonglade.core.time;
