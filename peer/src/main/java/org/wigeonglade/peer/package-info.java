/**
 * Placeholder.
 */
package org.wigeonglade.peer;
