/**
 * Placeholder.
 */
package org.wigeonglade.entry;
