/**
 * Sources of time, injected into all code that depends on the time.
 */
package org.wigeonglade.core.time;
