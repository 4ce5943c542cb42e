/**
 * Batch jobs: replay of partition streams, ownership, group commit and the granting of
 * work. Everything here is independent of sockets and event loops.
 */
package org.wigeonglade.core.batch;
