/**
 * Fault matrix: every fault at every step of each flow, judged by the checkers of the
 * promises.
 */
package org.wigeonglade.bench.faults;
