/**
 * Measures the control overhead of a fleet of hosts in one process: how long a
 * configuration takes to come into force, how long a leaving upstream gets work, and the
 * processor time, memory and bytes that control costs each host.
 */
package org.wigeonglade.bench.fleet;
