/**
 * Placeholder.
 */
package org.wigeonglade.bench;
