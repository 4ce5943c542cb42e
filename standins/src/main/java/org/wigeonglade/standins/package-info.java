/**
 * Placeholder.
 */
package org.wigeonglade.standins;
