/**
 * Measures the batch runtime: throughput, appends, takeover and rebuild. Runs the
 * runtimes of several hosts in one process against the stand-in of the log.
 */
package org.wigeonglade.bench.batch;
