/**
 * A fleet of entry hosts and stand-ins in one process, and the demo that runs on it.
 */
package org.wigeonglade.bench.demo;
