/**
 * Placeholder.
 */
package org.wigeonglade.adapters;
