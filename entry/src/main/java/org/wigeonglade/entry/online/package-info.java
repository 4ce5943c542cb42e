/**
 * Online path of a host: admission, routing, streams, retries, quarantine, and the batch
 * dispatcher of runners.
 */
package org.wigeonglade.entry.online;
