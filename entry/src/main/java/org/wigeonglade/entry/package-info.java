/**
 * Root package of the entry host, which serves callers and operators; it holds no types.
 */
package org.wigeonglade.entry;
