/**
 * Output of the log: {@link java.lang.System.Logger} through java.util.logging to
 * standard error, as text or as JSON lines.
 */
package org.wigeonglade.core.logging;
