/**
 * Placeholder.
 */
package org.wigeonglade.cli;
