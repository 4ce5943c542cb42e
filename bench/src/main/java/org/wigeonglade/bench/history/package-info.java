/**
 * Recorded histories of concurrent clients, engines and operators, and pure checkers of
 * the promises P1 to P9 over them. Libraries that check linearizability run code under
 * test in one JVM or are not written for it, so the checkers state each promise directly.
 */
package org.wigeonglade.bench.history;
