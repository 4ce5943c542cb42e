/**
 * Open-loop load and its figures: planned arrivals, measurements of single runs, reports
 * over repeated runs with their spread, and comparisons of two reports.
 */
package org.wigeonglade.bench.load;
